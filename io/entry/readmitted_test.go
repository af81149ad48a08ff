package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/member"
	"snipeshed/io/peer"
	"snipeshed/wire"
)

// TestRestartedCallIsNotRefused guards against a call that may have been admitted and is refused for overload, with run
// "unknown", when its engine or owner is lost and it has to start again.
func TestRestartedCallIsNotRefused(t *testing.T) {
	for name, tt := range map[string]struct {
		started bool
		lost    error
	}{
		"engine lost":      {true, &core.Error{Kind: core.KindStreamBroken, Execution: core.Executed}},
		"no endpoint left": {true, &core.Error{Kind: core.KindNoEndpoint, Execution: core.ExecutionUnknown}},
		"owner lost":       {false, fmt.Errorf("read a frame: %w", peer.ErrLost)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := startEntry(t, nil)
			lostOnce, marked := false, false
			serve := func(_ context.Context, req *core.CallRequest, send func(*core.Frame) error) error {
				if !lostOnce {
					lostOnce = true
					if tt.started {
						_ = sendStarted(send, "g1")
					}
					return tt.lost
				}
				marked = req.PreviouslyQueued
				return sendDone(send, 0)
			}
			e.owner.serve = serve
			mux := http.NewServeMux()
			peer.New(nil, 1<<20).Register(mux, &fakeOwner{serve: serve})
			s := httptest.NewServer(mux)
			defer s.Close()
			e.members.Merge([]*wire.Instance{{ // the second owner of the pool by its hash
				Id: "other", Address: strings.TrimPrefix(s.URL, "http://"), Kind: member.KindInstance, State: member.StateLive, Revision: 1,
			}}, 0, 1)
			resp := e.post(t, "Bearer "+key, strings.Replace(chatBody, "%t", "false", 1)) //nolint:bodyclose // post closes it
			is.Equal(resp.StatusCode, http.StatusOK)
			is.True(marked)
		})
	}
}
