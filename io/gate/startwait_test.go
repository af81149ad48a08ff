package gate_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCallsAtRestart guards against calls that are refused for seconds by an instance that is ready within one (load pattern: all
// instances lose power at the same moment and callers arrive as they start again).
func TestCallsAtRestart(t *testing.T) {
	is := is.New(t)
	apps := newApps(1)
	s := start(t, false)
	t.Cleanup(apps[0].Close)
	replies := make(chan *reply, 10)
	for n := range cap(replies) {
		go func() { replies <- s.send(t.Context(), t, http.MethodPost, "/look/1", fmt.Sprint("r", n)) }()
	}
	time.Sleep(200 * time.Millisecond)
	s.news.UpdateConfig(fmt.Appendf(nil, configFormat, 1, false), "test")
	time.Sleep(50 * time.Millisecond)
	s.setEndpoints(1, apps...)
	for range cap(replies) {
		resp := <-replies
		is.Equal(resp.StatusCode, http.StatusOK)
		_ = body(resp)
	}
}

// TestNoWaitWithoutStore guards against calls that are held although the instance knows that it can't serve them soon, and against
// calls that are held for long although the store may answer.
func TestNoWaitWithoutStore(t *testing.T) {
	for _, tt := range []struct {
		name            string
		mayLoad         bool
		atLeast, atMost time.Duration
	}{
		{"the store is down", false, 0, 200 * time.Millisecond},
		{"the store may answer", true, 200 * time.Millisecond, 700 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := start(t, false)
			s.gate.MayLoad = func() bool { return tt.mayLoad }
			begun := time.Now()
			resp := s.send(t.Context(), t, http.MethodPost, "/look/1", "r1", "Snipeshed-Deadline-Ms", "1000")
			took := time.Since(begun)
			is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
			is.True(resp.Header.Get("Retry-After") != "")
			_ = body(resp)
			is.True(took >= tt.atLeast)
			is.True(took < tt.atMost)
		})
	}
}
