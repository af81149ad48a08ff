package gate_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/tally"
)

// TestSlowPrefill guards against short generations that are retried elsewhere while their engine is still in prefill, of one
// large prompt or of several: the prefill then starts again at another engine, and the generation misses its objective.
func TestSlowPrefill(t *testing.T) {
	for _, tt := range []struct {
		name, tokens  string
		engines       int
		prefillTokens core.Tokens // prompt tokens of another instance's calls at the same engine
		runs          int
	}{
		{"large prompt", "5500,10", 2, 0, 1},
		{"prompts of others", "500,10", 2, 5000, 1},
		{"the engine should have answered", "500,10", 2, 0, 2},
		{"no other engine", "500,10", 1, 0, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			list := newEngines(tt.engines, 800*time.Millisecond) // the objective is 1 s; another engine is tried after 0.65 s
			for _, e := range list {
				e.Events = 1
			}
			s := start(t, false, list...)
			got := make(chan *reply, 1)
			go func() {
				got <- s.send(t.Context(), t, http.MethodPost, "/short/stream", "r1", "Snipeshed-Token-Count", tt.tokens)
			}()
			e := waitForEngine(t, list, "r1")
			s.loads.ReplacePeer(time.Now(), time.Now().Add(time.Minute), "peer", map[core.EndpointID]tally.Load{
				core.EndpointID(e.ID): {Calls: 1, PrefillTokens: tt.prefillTokens},
			})
			events, err := eventIDs(<-got)
			is.NoErr(err)
			checkEvents(is, events, 1)
			is.Equal(totalRuns(list, "r1"), tt.runs)
		})
	}
}
