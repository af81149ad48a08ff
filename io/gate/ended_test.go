package gate_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"snipeshed/stand/plat"
)

// TestAnswerOfKilledProcess guards against an answer that looks complete although the process of its endpoint was killed while it sent it:
// without a length, the system closes its connection as the endpoint does after a complete answer.
func TestAnswerOfKilledProcess(t *testing.T) {
	for _, tt := range []struct {
		name, path, part string
	}{
		{"stream", "/long/stream", events(1, 3)},
		{"resumable stream", "/short/stream", events(1, 3)},
		{"answer that is buffered", "/book/r1", "part of an ans"},
		{"large answer", "/book/r1", strings.Repeat("0123456789", 60<<10)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			killed, other := plat.NewEngine("lm-1"), plat.NewEngine("app-1")
			if strings.HasPrefix(tt.path, "/book/") {
				killed, other = other, killed
			}
			answer := rawHandler(func(c net.Conn, attempt string) {
				_, _ = io.WriteString(c, rawHead("HTTP/1.1 200 OK", attempt, "Connection: close")+tt.part)
				_ = killed.Listener.Close() // the connection is closed by the return
			})
			killed.StreamHandler, killed.CallHandler = answer, answer
			resp := start(t, false, killed, other).send(t.Context(), t, http.MethodPost, tt.path, "r1")
			defer resp.Body.Close()
			_, err := io.ReadAll(resp.Body)
			is.True(err != nil || resp.StatusCode == http.StatusBadGateway) // it shows that the answer is not complete
		})
	}
}
