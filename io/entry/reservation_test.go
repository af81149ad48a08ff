package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/io/reply"
	"snipeshed/stand/fleet"
	"snipeshed/wire"
)

// TestOpenRequestAndBodyLimits guards against open requests or bodies of one team that use up the share of the other
// teams or the instance's memory.
func TestOpenRequestAndBodyLimits(t *testing.T) {
	const otherKey = "other"
	body := fmt.Sprintf(chatBody, false)
	large := fmt.Sprintf(`{"model":"survey","messages":[{"role":"user","content":%q}]}`, strings.Repeat("rust ", 300))
	for _, tt := range []struct {
		name    string
		change  func(*conf.Settings)
		body    string
		chunked bool
		open    int // requests that the first team has open
		unit    string
	}{
		{name: "requests", change: func(s *conf.Settings) { s.OpenRequestLimit = 8 }, body: body, open: 4, unit: "8 open requests"},
		{name: "bytes of stated length", change: func(s *conf.Settings) { s.OpenBodyBytes, s.MaxBodyBytes = 8192, 8192 }, body: large, open: 3, unit: "8192 bytes"},
		{name: "bytes without stated length", change: func(s *conf.Settings) { s.OpenBodyBytes, s.MaxBodyBytes = 8192, 8192 }, body: large, chunked: true, open: 2, unit: "8192 bytes"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := startEntry(t, tt.change)
			e.src.cfg.Teams["u"] = &wire.Team{Name: "u"}
			e.src.cfg.Keys[fleet.KeyDigest(otherKey)] = core.Credential{Team: "u", Rank: "urgent"}
			release, waiting := make(chan struct{}), make(chan struct{}, 100)
			e.owner.serve = func(ctx context.Context, _ *core.CallRequest, send func(*core.Frame) error) error {
				waiting <- struct{}{}
				select {
				case <-release:
				case <-ctx.Done():
					return ctx.Err()
				}
				return sendDone(send, 0)
			}
			post := func(key string) (*http.Response, error) {
				r, err := http.NewRequest(http.MethodPost, e.URL+"/v1/chat/completions", strings.NewReader(tt.body))
				is.NoErr(err)
				if tt.chunked {
					r.Body, r.ContentLength = io.NopCloser(strings.NewReader(tt.body)), -1
				}
				r.Header.Set("Authorization", "Bearer "+key)
				return (&http.Client{Timeout: 10 * time.Second}).Do(r)
			}
			statuses := make(chan int, 100)
			send := func(key string) {
				go func() {
					resp, err := post(key)
					if err == nil {
						_ = resp.Body.Close() // only the status counts
						statuses <- resp.StatusCode
					}
				}()
				select {
				case <-waiting:
				case <-time.After(5 * time.Second):
					t.Fatal("a request within the limit did not reach the owner")
				}
			}
			for range tt.open {
				send(key)
			}
			resp, err := post(key)
			is.NoErr(err)
			defer resp.Body.Close()
			var got reply.Body
			is.NoErr(json.NewDecoder(resp.Body).Decode(&got))
			is.Equal(got.Error.Kind, core.KindOverloaded)
			is.Equal(got.Error.Run, core.NotExecuted)
			is.True(strings.Contains(got.Error.Message, tt.unit))
			is.True(resp.Header.Get("Retry-After") != "")

			send(otherKey) // the other team's share is still free
			close(release)
			for range tt.open + 1 {
				is.Equal(<-statuses, http.StatusOK)
			}
			for requests, bytes := e.entry.OpenRequests(); requests+bytes > 0; requests, bytes = e.entry.OpenRequests() {
				time.Sleep(time.Millisecond) // the handlers return after their answers
			}
		})
	}
}
