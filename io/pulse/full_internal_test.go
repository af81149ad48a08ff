package pulse

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/tally"
	"snipeshed/wire"
)

// TestFullToOtherDomains guards against control traffic between failure domains that grows with the square of a large fleet: each
// instance sent all others its whole load at each interval (load pattern: short calls all the time), though others prefer endpoints
// of their own domains. What matters to all is sent to all at once.
func TestFullToOtherDomains(t *testing.T) {
	is := is.New(t)
	const each = 40 // instances of each failure domain
	state := State{}
	p := testPulse(t, 0)
	p.self.FailureDomain = "near"
	p.State = func(time.Time) State { return state }
	p.conn = listenUDP(t)
	nearAddress, near := countDatagrams(t)
	farAddress, far := countDatagrams(t)
	for i := range each {
		p.applyFull(testTime, &wire.Pulse{From: fmt.Sprint("near", i), Address: nearAddress, Domain: "near", Run: 1, Seq: 1})
		p.applyFull(testTime, &wire.Pulse{From: fmt.Sprint("far", i), Address: farAddress, Domain: "far", Run: 1, Seq: 1})
	}
	var last fullSendState
	send := func(at time.Duration) (toNear, toFar int) {
		near.Store(0)
		far.Store(0)
		p.sendFull(testTime.Add(at), false, false, &last)
		time.Sleep(50 * time.Millisecond)
		return int(near.Load()), int(far.Load())
	}
	check := func(name string, at time.Duration, toNear, toFar int) {
		t.Helper()
		gotNear, gotFar := send(at)
		t.Logf("%s: %d and %d", name, gotNear, gotFar)
		is.Equal(gotNear, toNear)
		is.Equal(gotFar, toFar)
	}
	changeLoad := func() { p.loads.AddOwn(core.EndpointID("e"), tally.Load{Calls: 1}) }
	check("the first", 0, each, each)
	check("no change", p.interval(), 0, 0)
	changeLoad()
	check("its own load", 2*p.interval()-1, each, 0)
	changeLoad()
	check("the interval of an idle instance", 3*p.interval(), each, each)
	state.Blame.Version++
	check("a crash to be known everywhere", 4*p.interval(), each, each)
}
