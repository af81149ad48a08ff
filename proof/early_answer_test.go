package proof

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/stand/broken"
	"snipeshed/stand/edges"
)

// earlyAnswers is how often each call is sent, as it depends on the moment of a reset what an instance is told of it.
const earlyAnswers = 10

// earlyAnswer returns an answer without a length that callers may take for a success.
func earlyAnswer(r *http.Request) string {
	head := "HTTP/1.1 200 OK\r\nSnipeshed-Attempt-Id: " + r.Header.Get("Snipeshed-Attempt-Id") + "\r\nSnipeshed-Server-Seal: seal\r\n\r\n"
	return head + "some text"
}

// startEarly starts an instance before a server that answers each call when it has read its head, and ends the answer in the given way.
func startEarly(t *testing.T, ending broken.Ending) (*broken.Server, *edges.Instance) {
	t.Helper()
	server, err := broken.StartEarly(ending, earlyAnswer)
	is.New(t).NoErr(err)
	t.Cleanup(server.Close)
	return server, startBefore(t, server)
}

// TestBrokenEarlyAnswers guards against an instance, as a process, that passes on a part of an answer as a complete one, because the
// endpoint reset the connection while the body of the call was still being written.
func TestBrokenEarlyAnswers(t *testing.T) {
	for _, ending := range broken.BreakOffs() {
		t.Run(ending.Name, func(t *testing.T) {
			server, instance := startEarly(t, ending)
			for _, size := range []int{70 << 10, 1 << 20, core.DefaultBodyBytes} {
				upload := strings.Repeat("x", size)
				for n := range earlyAnswers {
					path := []string{"/look/1", "/book/1"}[n%2]
					before := server.Requests()
					status, seal, text := callInstance(t, instance, path, upload)
					if status != http.StatusBadGateway || seal != "" || !strings.HasPrefix(text, "outcome unknown: ") || server.Requests() != before+1 {
						t.Errorf("%s, %d bytes: status %d, digest %q, %d requests, text %q", path, size, status, seal, server.Requests()-before, text)
					}
				}
			}
		})
	}
}

// TestOrderlyEarlyAnswers guards against an instance, as a process, that does not pass on a complete answer without a length because the
// endpoint takes no more of the call's body.
func TestOrderlyEarlyAnswers(t *testing.T) {
	for _, ending := range broken.OrderlyEndings() {
		t.Run(ending.Name, func(t *testing.T) {
			is := is.New(t)
			_, instance := startEarly(t, ending)
			for _, size := range []int{100, 70 << 10, core.DefaultBodyBytes} {
				status, seal, text := callInstance(t, instance, "/book/1", strings.Repeat("x", size))
				is.Equal(fmt.Sprint(status, seal, text), "200sealsome text")
			}
		})
	}
}
