package entry

import (
	"net/http"
	"strings"
	"time"

	"snipeshed/core"
	"snipeshed/io/reply"
)

// whole collects a generation until it is complete.
type whole struct {
	text   strings.Builder
	first  time.Time
	finish core.Event
}

func (c *whole) event(ev *core.Event) error {
	if ev.Done {
		c.finish = *ev
		return nil
	}
	now := time.Now()
	if c.first.IsZero() {
		c.first = now
	}
	c.text.WriteString(ev.Text)
	return nil
}

func (c *whole) flush() error { return nil }

// reset drops the collected text; nothing has reached the client.
func (c *whole) reset() bool {
	*c = whole{}
	return true
}

func (e *Entry) answerWhole(w http.ResponseWriter, r *http.Request, g *generation) {
	c := &whole{}
	err := e.generate(r.Context(), g, c)
	e.logEnd(g, err)
	if err != nil {
		// Nothing was delivered, whatever the generation produced.
		t := *reply.Typed(err)
		t.TokensDelivered = 0
		e.refuse(w, g.id, &t)
		return
	}
	e.Meter.Count("completed")
	if !c.first.IsZero() {
		e.Meter.FirstToken(g.cred.Team, g.cred.Rank, c.first.Sub(g.arrived))
	}
	b := chunkHead(g, "chat.completion")
	b = append(b, `,"choices":[{"index":0,"message":{"role":"assistant","content":`...)
	b = appendString(b, c.text.String())
	b = append(b, `},"finish_reason":`...)
	b = appendString(b, c.finish.FinishReason)
	b = append(b, `}],"usage":`...)
	b = appendUsage(b, g, c.finish.Tokens)
	b = append(b, "}\n"...)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Request-Id", string(g.id))
	_, _ = w.Write(b) // the client may be gone
}
