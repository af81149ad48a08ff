package pulse

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/tally"
)

// TestOwnPause guards against an instance that was frozen for seconds and takes all others for lost when it goes on: it would
// count their calls as ended and read the store on behalf of all.
func TestOwnPause(t *testing.T) {
	is := is.New(t)
	p := testPulse(t, 1)
	frozenAt := testTime
	p.loads.ReplacePeer(frozenAt, frozenAt.Add(p.lostAfter()), "p0", map[core.EndpointID]tally.Load{"e": {Calls: 3}})

	thawedAt := frozenAt.Add(10 * time.Second)
	due := p.forgivePause(thawedAt, frozenAt.Add(100*time.Millisecond))
	is.Equal(due, thawedAt)
	is.Equal(len(p.expireSilent(thawedAt, p.lostAfter())), 0)
	is.Equal(p.loads.Load(thawedAt, "e").Calls, 3)

	silent := thawedAt.Add(p.lostAfter() + time.Second)
	is.Equal(len(p.expireSilent(silent, p.lostAfter())), 1) // it stays silent
	is.Equal(p.loads.Load(silent, "e").Calls, 0)
}

// TestLateTimer guards against a late timer that counts as a pause and keeps lost instances live.
func TestLateTimer(t *testing.T) {
	is := is.New(t)
	due := time.Unix(1000, 0)
	is.Equal(testPulse(t, 0).forgivePause(due.Add(pauseThreshold/2), due), due)
}
