package action

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/stand/broken"
)

// checkMalformed checks what a client gets when endpoints answer with malformed heads: never that answer. A call that may not run
// twice is sent once.
func checkMalformed(t *testing.T, heads []broken.Head) {
	answers := []string{
		broken.Framed(http.StatusOK, "ran"), broken.Chunked(http.StatusOK, "ran"), broken.Framed(http.StatusServiceUnavailable, "full"),
	}
	for _, head := range heads {
		t.Run(head.Name, func(t *testing.T) {
			t.Parallel()
			for _, answer := range answers {
				checkMalformedAnswer(t, head.Spoil(answer))
			}
		})
	}
}

func checkMalformedAnswer(t *testing.T, answer string) {
	t.Helper()
	is := is.New(t)
	server, err := broken.Start(func(*http.Request) string { return answer })
	is.NoErr(err)
	defer server.Close()
	cl := newCluster(1)
	cl.instances[0] = New(quietShared(), cl.store, testConfig(server.Address()))
	is.Equal(cl.call(0, "POST", "/notes", "", "b", time.Second), unknown)
	is.Equal(server.Requests(), 1)
	is.Equal(cl.call(0, "POST", "/confirm", "k", "b", time.Second), unknown)
	is.Equal(cl.call(0, "POST", "/confirm", "k", "b", time.Second), "in_progress/unknown") // until the deadline of the first
	is.Equal(server.Requests(), 2)
	is.Equal(cl.call(0, "GET", "/notes", "", "", time.Second), unknown)
	is.NoErr(cl.close(time.Minute))
}

// TestMalformedStatus guards against an answer with a status that HTTP does not define and that a client gets as an answer.
func TestMalformedStatus(t *testing.T) { checkMalformed(t, broken.Statuses()) }

// TestMalformedName guards against an answer with a field whose name is no token, or with a body that is not the endpoint's, because
// that field told how it is framed.
func TestMalformedName(t *testing.T) { checkMalformed(t, broken.Names()) }

// TestFoldedLine guards against an answer with a line that begins with a blank and is taken as the end of the line before.
func TestFoldedLine(t *testing.T) { checkMalformed(t, broken.Folds()) }
