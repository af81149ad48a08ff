package entry_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/member"
	"snipeshed/io/peer"
	"snipeshed/io/pool"
	"snipeshed/wire"
)

// TestSuccessorServes guards against a call that is refused during a planned replacement, because its entry knows only instances
// that are leaving and their successor becomes known in the next moment.
func TestSuccessorServes(t *testing.T) {
	is := is.New(t)
	e := startEntry(t, nil)
	e.owner.serve = func(context.Context, *core.CallRequest, func(*core.Frame) error) error { return pool.LeavingError() }
	successor := &fakeOwner{serve: func(_ context.Context, _ *core.CallRequest, send func(*core.Frame) error) error {
		return sendDone(send, 0)
	}}
	mux := http.NewServeMux()
	peer.New(nil, 1<<20).Register(mux, successor)
	s := httptest.NewServer(mux)
	defer s.Close()
	known := time.AfterFunc(200*time.Millisecond, func() {
		e.members.Merge([]*wire.Instance{{
			Id: "new", Address: strings.TrimPrefix(s.URL, "http://"), Kind: member.KindInstance, State: member.StateLive, Revision: 1,
		}}, 0, 1)
	})
	defer known.Stop()
	resp := e.post(t, "Bearer "+key, strings.Replace(chatBody, "%t", "false", 1)) //nolint:bodyclose // post closes it
	is.Equal(resp.StatusCode, http.StatusOK)
}
