package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"snipeshed/core"
	"snipeshed/core/prefix"
	"snipeshed/io/reply"
)

// sse writes a generation as server-sent events in the chat-completions format.
type sse struct {
	w     http.ResponseWriter
	conn  *http.ResponseController
	meter Meter
	g     *generation

	head  []byte // start of every chunk, up to the content
	buf   []byte
	begun bool
	// pending tells that something was written and not flushed.
	pending bool
	last    time.Time

	writeTimeout time.Duration
	renewed      time.Time // when the write deadline was last set
}

func newSSE(w http.ResponseWriter, g *generation, meter Meter, writeTimeout time.Duration) *sse {
	s := &sse{w: w, conn: http.NewResponseController(w), meter: meter, g: g, writeTimeout: writeTimeout}
	s.head = chunkHead(g, "chat.completion.chunk")
	return s
}

// chunkHead is what all chunks of an answer share; the closing brace is left open.
func chunkHead(g *generation, object string) []byte {
	b, _ := json.Marshal(struct {
		ID      string           `json:"id"`
		Object  string           `json:"object"`
		Created int64            `json:"created"`
		Model   core.ServiceName `json:"model"`
	}{"chatcmpl-" + string(g.id), object, g.arrived.Unix(), g.call.Service}) // plain fields always marshal
	return b[:len(b)-1]
}

func (s *sse) event(ev *core.Event) error {
	if ev.Done {
		return s.finish(ev)
	}
	s.begin()
	s.record()
	s.buf = append(s.buf[:0], "data: "...)
	s.buf = append(s.buf, s.head...)
	s.buf = append(s.buf, `,"choices":[{"index":0,"delta":{"content":`...)
	s.buf = appendString(s.buf, ev.Text)
	s.buf = append(s.buf, `},"finish_reason":null}]}`+"\n\n"...)
	return s.write()
}

// appendString appends s as a JSON string; text without special characters is copied.
func appendString(b []byte, s string) []byte {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c < ' ' || c == '"' || c == '\\' || c >= 0x7f {
			q, _ := json.Marshal(s) // a string always marshals
			return append(b, q...)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}

func (s *sse) finish(ev *core.Event) error {
	s.begin()
	s.buf = append(s.buf[:0], "data: "...)
	s.buf = append(s.buf, s.head...)
	s.buf = append(s.buf, `,"choices":[{"index":0,"delta":{},"finish_reason":`...)
	s.buf = appendString(s.buf, ev.FinishReason)
	s.buf = append(s.buf, "}]}\n\n"...)
	if s.g.includeUsage {
		s.buf = append(s.buf, "data: "...)
		s.buf = append(s.buf, s.head...)
		s.buf = append(s.buf, `,"choices":[],"usage":`...)
		s.buf = appendUsage(s.buf, s.g, ev.Tokens)
		s.buf = append(s.buf, "}\n\n"...)
	}
	s.buf = append(s.buf, "data: [DONE]\n\n"...)
	return s.write()
}

func (s *sse) begin() {
	if s.begun {
		return
	}
	s.begun = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("Request-Id", string(s.g.id))
	s.w.WriteHeader(http.StatusOK)
}

func (s *sse) record() {
	now := time.Now()
	if s.last.IsZero() {
		s.meter.FirstToken(s.g.cred.Team, s.g.cred.Rank, now.Sub(s.g.arrived))
	} else {
		s.meter.Gap(s.g.cred.Team, s.g.cred.Rank, now.Sub(s.last))
	}
	s.last = now
}

// renewEvery bounds how often the write deadline is moved, which costs more than writing a token.
const renewEvery = time.Second

// write hands the buffer to the connection; a client that stops reading fails it or the flush after the write timeout.
func (s *sse) write() error {
	if now := time.Now(); now.Sub(s.renewed) > renewEvery {
		s.renewed = now
		_ = s.conn.SetWriteDeadline(now.Add(s.writeTimeout)) // not every writer has deadlines
	}
	s.pending = true
	_, err := s.w.Write(s.buf)
	return err
}

// flush sends what has been written; several tokens that had already arrived share one write to the connection.
func (s *sse) flush() error {
	if !s.pending {
		return nil
	}
	s.pending = false
	return s.conn.Flush()
}

// reset reports whether nothing has reached the client.
func (s *sse) reset() bool { return !s.begun }

// fail ends the stream with an error event instead of the end mark.
func (s *sse) fail(err error) {
	s.buf = append(s.buf[:0], "event: error\ndata: "...)
	s.buf = append(s.buf, reply.Marshal(s.g.id, err)...)
	s.buf = append(s.buf, "\n\n"...)
	_ = s.write() // the client may be gone
	_ = s.flush() // as above
}

func appendUsage(b []byte, g *generation, completion core.Tokens) []byte {
	prompt := int64(prefix.Tokens(g.call.Prompt))
	b = append(b, `{"prompt_tokens":`...)
	b = strconv.AppendInt(b, prompt, 10)
	b = append(b, `,"completion_tokens":`...)
	b = strconv.AppendInt(b, int64(completion), 10)
	b = append(b, `,"total_tokens":`...)
	b = strconv.AppendInt(b, prompt+int64(completion), 10)
	return append(b, '}')
}

func (e *Entry) answerStream(w http.ResponseWriter, r *http.Request, g *generation) {
	s := newSSE(w, g, e.Meter, ms(e.Settings.GetWriteTimeoutMs()))
	err := e.generate(r.Context(), g, s)
	switch {
	case err == nil:
		e.Meter.Count("completed")
	case s.begun:
		e.Meter.Count("broken_" + string(core.KindOf(err)))
		s.fail(err)
	default:
		e.refuse(w, g.id, err)
	}
	e.logEnd(g, err)
}

func (e *Entry) logEnd(g *generation, err error) {
	f := map[string]any{
		"request_id": g.id, "team": g.cred.Team, "rank": g.cred.Rank, "service": g.call.Service,
		"duration_ms": time.Since(g.arrived).Milliseconds(),
	}
	if err == nil {
		e.Log.WithFields(f).Debug("request completed")
		return
	}
	f["kind"], f["error"] = core.KindOf(err), err.Error()
	e.Log.WithFields(f).Info("request failed")
}
