package peer_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/io/peer"
)

// TestAnswersOfOtherVersions guards against an entry that cannot read the answer of an owner of another version, or takes
// an unknown value in it for proof that a call was run or not run.
func TestAnswersOfOtherVersions(t *testing.T) {
	const done = `{"event":{"i":0,"done":true,"tokens":0}}` + "\n"
	for name, c := range map[string]struct {
		status int
		body   string
		frames int
		kind   core.ErrorKind // "" means success
		run    core.Execution
	}{
		"unknown field in a frame": {200, `{"started":{"endpoint":"e","generation_id":"g","from":0,"x":1},"y":[2]}` + "\n" + done, 2, "", ""},
		"unknown kind of frame":    {200, `{"hint":{"x":1}}` + "\n" + done, 2, "", ""},
		"unknown kind of error":    {200, `{"error":{"kind":"frozen","message":"m","run":"not_run"}}` + "\n", 0, "frozen", core.NotExecuted},
		"unknown value of run":     {200, `{"error":{"kind":"frozen","message":"m","run":"half_run"}}` + "\n", 0, "frozen", core.ExecutionUnknown},
		"path is not served":       {404, "404 page not found", 0, core.KindLeaving, core.NotExecuted},
		"method is not served":     {405, "", 0, core.KindLeaving, core.NotExecuted},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, c.body)
			}))
			defer srv.Close()
			n := 0
			err := peer.New(srv.Client(), 1<<20).Call(t.Context(), strings.TrimPrefix(srv.URL, "http://"), &core.CallRequest{},
				func(*core.Frame) error { n++; return nil })
			is.Equal(n, c.frames)
			is.Equal(err == nil, c.kind == "")
			var e *core.Error
			if errors.As(err, &e) {
				is.Equal(e.Kind, c.kind)
				is.Equal(e.Execution, c.run)
			}
			is.True(!errors.Is(err, peer.ErrUnreachable)) // the entry would suspect the instance of having failed
		})
	}
}
