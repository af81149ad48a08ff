package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/member"
	"snipeshed/io/peer"
	"snipeshed/wire"
)

// TestLostCancelIsRepeated guards against an engine that works on a generation to its end, up to minutes, although its client
// has left, because the only cancellation did not reach the owner.
func TestLostCancelIsRepeated(t *testing.T) {
	for name, fail := range map[string]func(w http.ResponseWriter){
		"connection broken": func(http.ResponseWriter) { panic(http.ErrAbortHandler) },
		"error":             func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := startEntry(t, nil)
			owner := &fakeOwner{canceled: make(chan core.RequestID, 1), serve: func(ctx context.Context, _ *core.CallRequest, send func(*core.Frame) error) error {
				if err := sendStarted(send, "g"); err != nil {
					return err
				}
				if err := sendToken(send, 0); err != nil {
					return err
				}
				<-ctx.Done()
				return ctx.Err()
			}}
			mux := http.NewServeMux()
			peer.New(nil, 1<<20).Register(mux, owner)
			var lost atomic.Bool
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == peer.CancelPath && lost.CompareAndSwap(false, true) {
					fail(w)
					return
				}
				mux.ServeHTTP(w, r)
			}))
			defer s.Close()
			e.members.Merge([]*wire.Instance{{
				Id: "other", Address: strings.TrimPrefix(s.URL, "http://"), Kind: member.KindInstance, State: member.StateLive, Revision: 1,
			}}, 0, 1)
			e.owner.serve = func(context.Context, *core.CallRequest, func(*core.Frame) error) error {
				return &core.Error{Kind: core.KindLeaving, Execution: core.NotExecuted}
			}
			resp := e.post(t, "Bearer "+key, fmt.Sprintf(chatBody, true))
			_, err := bufio.NewReader(resp.Body).ReadString('\n')
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
			select {
			case <-owner.canceled:
			case <-time.After(5 * time.Second):
				t.Fatal("the owner got no cancellation")
			}
		})
	}
}
