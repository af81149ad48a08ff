package action

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/io/link"
	"snipeshed/stand/broken"
)

// earlyAnswers is how often each case is tried, as it depends on whether the reader or the writer is told of a reset.
const earlyAnswers = 10

// earlyUpload is the body of the calls, which the kernel does not take at once.
var earlyUpload = strings.Repeat("x", 4<<20)

// startEarly returns an instance whose only endpoint answers calls before it has read their body.
func startEarly(t *testing.T, ending broken.Ending) (*cluster, *broken.Server) {
	t.Helper()
	server, err := broken.StartEarly(ending, func(*http.Request) string { return broken.Unframed(http.StatusOK, "ran") })
	is.New(t).NoErr(err)
	t.Cleanup(server.Close)
	cfg := &conf.Settings{}
	conf.SetDefaults(cfg)
	cl := newCluster(1)
	cl.instances[0] = New(quietShared(), cl.store, testConfig(server.Address()), WithClient(link.New(cfg).ApplicationClient()))
	return cl, server
}

// upload sends a call of a client and returns the status and the text of its answer and whether it looks complete.
func (cl *cluster) upload(t *testing.T, method string) (status int, text string, complete bool) {
	t.Helper()
	is := is.New(t)
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		cl.instances[0].Serve(w, r, "r1", core.Credential{Team: "tallinn"}, "swaps", "/notes")
	}))
	defer front.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, front.URL, strings.NewReader(earlyUpload))
	is.NoErr(err)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err == nil
}

// TestBrokenEarlyAnswer guards against a part of an answer that a client gets as a complete one, or that is recorded as the result of a
// protected action, because the endpoint reset the connection while the body of the call was still being written.
func TestBrokenEarlyAnswer(t *testing.T) {
	for _, ending := range broken.BreakOffs() {
		t.Run(ending.Name, func(t *testing.T) {
			t.Parallel()
			for range earlyAnswers {
				is := is.New(t)
				cl, server := startEarly(t, ending)
				for _, method := range []string{http.MethodPost, http.MethodPut} {
					before := server.Requests()
					status, text, complete := cl.upload(t, method)
					if complete && status < 300 || server.Requests() != before+1 {
						t.Errorf("%s: status %d, complete %t, %d requests, text %q", method, status, complete, server.Requests()-before, text)
					}
				}
				is.Equal(cl.call(0, "POST", "/confirm", "k", earlyUpload, time.Second), unknown)
				is.True(cl.record("k").Result == nil)
				is.NoErr(cl.close(time.Minute))
			}
		})
	}
}

// TestOrderlyEarlyAnswer guards against a complete answer without a length that counts as broken because the endpoint has not read the
// body of the call when it ends the answer.
func TestOrderlyEarlyAnswer(t *testing.T) {
	for _, ending := range broken.OrderlyEndings() {
		t.Run(ending.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			cl, server := startEarly(t, ending)
			status, text, complete := cl.upload(t, http.MethodPost)
			is.Equal(status, http.StatusOK)
			is.Equal(text, "ran")
			is.True(complete)
			is.Equal(cl.call(0, "POST", "/confirm", "k", earlyUpload, time.Second), "ran")
			is.Equal(server.Requests(), 2)
			is.NoErr(cl.close(time.Minute))
		})
	}
}
