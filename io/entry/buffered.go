package entry

import (
	"net/http"
	"strings"
	"time"

	"snipeshed/core"
	"snipeshed/io/reply"
)

// bufferedSink collects the events of a generation for a response that is not streamed.
type bufferedSink struct {
	text         strings.Builder
	firstTokenAt time.Time
	doneEvent    core.Event
}

func (s *bufferedSink) event(ev *core.Event) error {
	if ev.Done {
		s.doneEvent = *ev
		return nil
	}
	now := time.Now()
	if s.firstTokenAt.IsZero() {
		s.firstTokenAt = now
	}
	s.text.WriteString(ev.Text)
	return nil
}

func (s *bufferedSink) flush() error { return nil }

// reset drops the collected text. It always succeeds, because nothing has been sent to the client.
func (s *bufferedSink) reset() bool {
	*s = bufferedSink{}
	return true
}

func (e *Entry) answerComplete(w http.ResponseWriter, r *http.Request, g *generation) {
	sink := &bufferedSink{}
	err := e.generate(r.Context(), g, sink)
	e.logOutcome(g, err)
	if err != nil {
		// The client has received no tokens, however many the generation produced.
		t := *reply.TypedError(err)
		t.TokensDelivered = 0
		e.refuse(w, g.id, &t)
		return
	}
	e.Meter.Count("completed")
	if !sink.firstTokenAt.IsZero() {
		e.Meter.RecordFirstToken(g.cred.Team, g.cred.Rank, sink.firstTokenAt.Sub(g.arrived))
	}
	b := chunkPrefix(g, "chat.completion")
	b = append(b, `,"choices":[{"index":0,"message":{"role":"assistant","content":`...)
	b = appendString(b, sink.text.String())
	b = append(b, `},"finish_reason":`...)
	b = appendString(b, sink.doneEvent.FinishReason)
	b = append(b, `}],"usage":`...)
	b = appendUsage(b, g, sink.doneEvent.Tokens)
	b = append(b, "}\n"...)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Request-Id", string(g.id))
	_, _ = w.Write(b) // the client may have disconnected
}
