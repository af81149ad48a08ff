package gate_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/tally"
	"snipeshed/stand/plat"
)

// TestOutgrownForecast guards against two faults with generations that outgrow their hint and forecast: an engine is
// overfilled and evicts its newest generations in the middle of their streams, and memory stays counted after the end.
func TestOutgrownForecast(t *testing.T) {
	for _, backups := range []bool{false, true} {
		is := is.New(t)
		list := newEngines(2, 5*time.Millisecond)
		for _, e := range list {
			e.Events = 100
		}
		s := start(t, backups, list...)
		resp := s.send(t.Context(), t, http.MethodPost, "/long/stream", "r1") // 1000 tokens in, at most 100 out
		e := waitForEngine(t, list, "r1")
		loadOf := func(e *plat.Engine) tally.Load { return s.loads.Load(time.Now(), core.EndpointID(e.ID)) }
		is.True(loadOf(e).Tokens < 1050) // forecast without a hint
		eventually(t, "its growth beyond the forecast is counted", func() bool { return loadOf(e).Tokens >= 1090 })
		if backups {
			other := list[0]
			if e == other {
				other = list[1]
			}
			is.True(loadOf(other).Tokens >= 1090)
		}
		events, err := eventIDs(resp)
		is.NoErr(err)
		checkEvents(is, events, 100)
		eventually(t, "nothing is counted after the end", func() bool {
			return loadOf(list[0]).Tokens == 0 && loadOf(list[1]).Tokens == 0 &&
				loadOf(list[0]).UncopiedTokens == 0 && loadOf(list[1]).UncopiedTokens == 0
		})
	}
}
