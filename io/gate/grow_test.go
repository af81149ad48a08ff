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

// TestOutgrown guards against an engine that is filled by forecasts which its generations have outgrown, so that the newest
// lose their memory in the middle of their streams, and against memory that stays counted after the end (pattern: lengths
// that hints and forecasts miss).
func TestOutgrown(t *testing.T) {
	for _, backups := range []bool{false, true} {
		is := is.New(t)
		list := engines(2, 5*time.Millisecond)
		for _, e := range list {
			e.Events = 100
		}
		s := start(t, backups, list...)
		resp := s.send(t.Context(), t, http.MethodPost, "/long/stream", "r1") // 1000 tokens in, at most 100 out
		e := running(t, list, "r1")
		of := func(e *plat.Engine) tally.Use { return s.tally.Of(time.Now(), core.EndpointID(e.ID)) }
		is.True(of(e).Tokens < 1050) // forecast without a hint
		eventually(t, "its length is counted", func() bool { return of(e).Tokens >= 1090 })
		if backups {
			other := list[0]
			if e == other {
				other = list[1]
			}
			is.True(of(other).Tokens >= 1090)
		}
		events, err := ids(resp)
		is.NoErr(err)
		wholeStream(is, events, 100)
		eventually(t, "nothing is counted after the end", func() bool {
			return of(list[0]).Tokens == 0 && of(list[1]).Tokens == 0 && of(list[0]).Bare == 0 && of(list[1]).Bare == 0
		})
	}
}
