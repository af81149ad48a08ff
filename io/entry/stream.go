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

// sse is an eventSink that writes a generation as server-sent events in the chat-completions format.
type sse struct {
	w     http.ResponseWriter
	conn  *http.ResponseController
	meter Meter
	g     *generation

	chunkPrefix []byte // start of each chunk, up to its choices
	buf         []byte
	headersSent bool
	// unflushed reports whether data was written and not flushed yet.
	unflushed   bool
	lastTokenAt time.Time

	writeTimeout  time.Duration
	deadlineSetAt time.Time // when the write deadline was last set
}

func newSSE(w http.ResponseWriter, g *generation, meter Meter, writeTimeout time.Duration) *sse {
	s := &sse{w: w, conn: http.NewResponseController(w), meter: meter, g: g, writeTimeout: writeTimeout}
	s.chunkPrefix = chunkPrefix(g, "chat.completion.chunk")
	return s
}

// chunkPrefix returns the JSON fields that all chunks of an answer share, without the closing brace.
func chunkPrefix(g *generation, object string) []byte {
	b, _ := json.Marshal(struct {
		ID      string           `json:"id"`
		Object  string           `json:"object"`
		Created int64            `json:"created"`
		Model   core.ServiceName `json:"model"`
	}{"chatcmpl-" + string(g.id), object, g.arrived.Unix(), g.call.Service}) // marshaling cannot fail for these fields
	return b[:len(b)-1]
}

func (s *sse) event(ev *core.Event) error {
	if ev.Done {
		return s.finish(ev)
	}
	s.sendHeaders()
	s.recordLatency()
	s.buf = append(s.buf[:0], "data: "...)
	s.buf = append(s.buf, s.chunkPrefix...)
	s.buf = append(s.buf, `,"choices":[{"index":0,"delta":{"content":`...)
	s.buf = appendString(s.buf, ev.Text)
	s.buf = append(s.buf, `},"finish_reason":null}]}`+"\n\n"...)
	return s.write()
}

// appendString appends s as a JSON string; printable ASCII that needs no escapes is copied without encoding/json.
func appendString(b []byte, s string) []byte {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c < ' ' || c == '"' || c == '\\' || c >= 0x7f {
			q, _ := json.Marshal(s) // marshaling a string cannot fail
			return append(b, q...)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}

func (s *sse) finish(ev *core.Event) error {
	s.sendHeaders()
	s.buf = append(s.buf[:0], "data: "...)
	s.buf = append(s.buf, s.chunkPrefix...)
	s.buf = append(s.buf, `,"choices":[{"index":0,"delta":{},"finish_reason":`...)
	s.buf = appendString(s.buf, ev.FinishReason)
	s.buf = append(s.buf, "}]}\n\n"...)
	if s.g.includeUsage {
		s.buf = append(s.buf, "data: "...)
		s.buf = append(s.buf, s.chunkPrefix...)
		s.buf = append(s.buf, `,"choices":[],"usage":`...)
		s.buf = appendUsage(s.buf, s.g, ev.Tokens)
		s.buf = append(s.buf, "}\n\n"...)
	}
	s.buf = append(s.buf, "data: [DONE]\n\n"...)
	return s.write()
}

func (s *sse) sendHeaders() {
	if s.headersSent {
		return
	}
	s.headersSent = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("Request-Id", string(s.g.id))
	s.w.WriteHeader(http.StatusOK)
}

func (s *sse) recordLatency() {
	now := time.Now()
	if s.lastTokenAt.IsZero() {
		s.meter.RecordFirstToken(s.g.cred.Team, s.g.cred.Rank, now.Sub(s.g.arrived))
	} else {
		s.meter.RecordTokenGap(s.g.cred.Team, s.g.cred.Rank, now.Sub(s.lastTokenAt))
	}
	s.lastTokenAt = now
}

// deadlineRenewInterval limits how often the write deadline is extended, because that costs more than writing a token.
const deadlineRenewInterval = time.Second

// write writes the buffer to the connection. If the client stops reading, write or flush fails after the write timeout.
func (s *sse) write() error {
	if now := time.Now(); now.Sub(s.deadlineSetAt) > deadlineRenewInterval {
		s.deadlineSetAt = now
		_ = s.conn.SetWriteDeadline(now.Add(s.writeTimeout)) // some response writers do not support deadlines
	}
	s.unflushed = true
	_, err := s.w.Write(s.buf)
	return err
}

// flush sends the written data. Tokens that arrive together are flushed once, in one write to the connection.
func (s *sse) flush() error {
	if !s.unflushed {
		return nil
	}
	s.unflushed = false
	return s.conn.Flush()
}

// reset reports whether nothing has been sent to the client; there is no buffered text to drop.
func (s *sse) reset() bool { return !s.headersSent }

// fail ends the stream with an error event instead of the [DONE] event.
func (s *sse) fail(err error) {
	s.buf = append(s.buf[:0], "event: error\ndata: "...)
	s.buf = append(s.buf, reply.MarshalError(s.g.id, err)...)
	s.buf = append(s.buf, "\n\n"...)
	_ = s.write() // the client may have disconnected
	_ = s.flush() // as above
}

func appendUsage(b []byte, g *generation, completion core.Tokens) []byte {
	prompt := int64(prefix.EstimateTokens(g.call.Prompt))
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
	case s.headersSent:
		e.Meter.Count("broken_" + string(core.ErrorKindOf(err)))
		s.fail(err)
	default:
		e.refuse(w, g.id, err)
	}
	e.logOutcome(g, err)
}

func (e *Entry) logOutcome(g *generation, err error) {
	f := map[string]any{
		"request_id": g.id, "team": g.cred.Team, "rank": g.cred.Rank, "service": g.call.Service,
		"duration_ms": time.Since(g.arrived).Milliseconds(),
	}
	if err == nil {
		e.Log.WithFields(f).Debug("request completed")
		return
	}
	f["kind"], f["error"] = core.ErrorKindOf(err), err.Error()
	e.Log.WithFields(f).Info("request failed")
}
