package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/io/reply"
)

// TestOwnerReportsDeadline guards against an entry that stops waiting before the owner reports a passed deadline: a call
// that had never left the queue was then reported with run "unknown" instead of "not_run".
func TestOwnerReportsDeadline(t *testing.T) {
	for name, tt := range map[string]struct {
		late time.Duration
		run  core.Execution
	}{
		"shortly after the deadline": {50 * time.Millisecond, core.NotExecuted},
		"never":                      {time.Minute, core.ExecutionUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := startEntry(t, nil)
			e.owner.serve = func(ctx context.Context, req *core.CallRequest, _ func(*core.Frame) error) error {
				select {
				case <-ctx.Done():
					return ctx.Err()
				case <-time.After(time.Duration(req.DeadlineMS)*time.Millisecond + tt.late):
					return &core.Error{Kind: core.KindDeadline, Execution: core.NotExecuted}
				}
			}
			r, err := http.NewRequest(http.MethodPost, e.URL+"/v1/chat/completions", strings.NewReader(fmt.Sprintf(chatBody, false)))
			is.NoErr(err)
			r.Header.Set("Authorization", "Bearer "+key)
			r.Header.Set("Snipeshed-Timeout-Ms", "200")
			began := time.Now()
			resp, err := http.DefaultClient.Do(r)
			is.NoErr(err)
			defer resp.Body.Close()
			var got reply.Body
			is.NoErr(json.NewDecoder(resp.Body).Decode(&got))
			is.Equal(got.Error.Kind, core.KindDeadline)
			is.Equal(got.Error.Run, tt.run)
			is.True(time.Since(began) < 2*time.Second)
		})
	}
}
