package gate_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAnswersLostBeforeEvents guards against a generation that runs twice: the answer of its engine is lost before the first event,
// and the engine that was to keep a backup, but has none yet, begins the generation anew. A load pattern with such resets is
// deploy/days/answer-lost.toml.
func TestAnswersLostBeforeEvents(t *testing.T) {
	for name, answer := range map[string]string{
		"before the head": "",
		"after the head":  rawHead("HTTP/1.1 200 OK", "r1", chunkedLine),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			list := newEngines(3, time.Millisecond)
			for _, e := range list {
				e.StreamHandler = rawHandler(func(c net.Conn, _ string) { _, _ = io.WriteString(c, answer) })
			}
			resp := start(t, true, list...).send(t.Context(), t, http.MethodPost, "/long/stream", "r1")
			defer resp.Body.Close()
			is.Equal(resp.StatusCode, http.StatusBadGateway)
			is.Equal(resp.Header.Get("Snipeshed-Not-Executed"), "") // the first engine may have run it
			is.Equal(totalRuns(list, "r1"), 1)
		})
	}
}
