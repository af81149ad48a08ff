package tally

import (
	"time"

	"snipeshed/core"
)

const (
	// outcomeWindow is the sliding window over which outcomes and timings are counted, in two halves.
	outcomeWindow = 4 * time.Second
	// lastCallSpan is how long the time of the last call at an endpoint is remembered.
	lastCallSpan = time.Minute
)

// Load is the load in flight at an endpoint.
type Load struct {
	Calls          int
	Tokens         core.Tokens // forecast of the memory use
	UncopiedTokens core.Tokens // part of Tokens that belongs to generations without a copy at another engine
	PrefillTokens  core.Tokens // prompt tokens of calls whose endpoint has sent no event yet
	Failed         int         // calls that failed within the last outcomeWindow
	Ended          int         // calls that ended within the last outcomeWindow
	Light          Timing      // calls of the last outcomeWindow that met few others
	Crowded        Timing      // calls of the last outcomeWindow that met many others
}

func (l *Load) add(other Load) {
	l.Calls += other.Calls
	l.Tokens += other.Tokens
	l.UncopiedTokens += other.UncopiedTokens
	l.PrefillTokens += other.PrefillTokens
	l.Failed += other.Failed
	l.Ended += other.Ended
	l.Light.add(other.Light)
	l.Crowded.add(other.Crowded)
}

func (l Load) negated() Load {
	return Load{
		Calls: -l.Calls, Tokens: -l.Tokens, UncopiedTokens: -l.UncopiedTokens, PrefillTokens: -l.PrefillTokens,
		Failed: -l.Failed, Ended: -l.Ended, Light: l.Light.negated(), Crowded: l.Crowded.negated(),
	}
}

// recent returns the outcomes and timings alone.
func (l Load) recent() Load {
	return Load{Failed: l.Failed, Ended: l.Ended, Light: l.Light, Crowded: l.Crowded}
}
