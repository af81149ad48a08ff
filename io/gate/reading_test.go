package gate_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/tally"
)

// TestSlowReading guards against short generations that are taken off an engine which still reads prompts: their own prompt
// is read again elsewhere and they are late for it (pattern: large prompts, and several at one engine).
func TestSlowReading(t *testing.T) {
	for _, tt := range []struct {
		name, tokens string
		engines      int
		unread       core.Tokens // prompts of another instance at the same engine
		runs         int
	}{
		{"large prompt", "5500,10", 2, 0, 1},
		{"prompts of others", "500,10", 2, 5000, 1},
		{"the engine ought to have answered", "500,10", 2, 0, 2},
		{"no other engine", "500,10", 1, 0, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			list := engines(tt.engines, 800*time.Millisecond) // the objective is 1 s, the engine is given up after 0.65 s
			for _, e := range list {
				e.Events = 1
			}
			s := start(t, false, list...)
			got := make(chan *reply, 1)
			go func() {
				got <- s.send(t.Context(), t, http.MethodPost, "/short/stream", "r1", "Snipeshed-Token-Count", tt.tokens)
			}()
			e := running(t, list, "r1")
			s.tally.Report(time.Now(), time.Now().Add(time.Minute), "peer", map[core.EndpointID]tally.Use{
				core.EndpointID(e.ID): {Calls: 1, Unread: tt.unread},
			})
			events, err := ids(<-got)
			is.NoErr(err)
			wholeStream(is, events, 1)
			is.Equal(runs(list, "r1"), tt.runs)
		})
	}
}
