package pulse

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"snipeshed/core"
	"snipeshed/core/place"
	"snipeshed/core/tally"
	"snipeshed/wire"
)

// TestEndedInstance guards against instances that fetch the member list from each other repeatedly after one was killed:
// those that have noticed it count one member fewer than those that have not.
func TestEndedInstance(t *testing.T) {
	is := is.New(t)
	p := newPeers(core.Peer{ID: "self", Address: "127.0.0.1:1"})
	now := time.Unix(1000, 0)
	receive := func(id string, port, members int, at time.Time) {
		p.applyFull(at, &wire.Pulse{
			From: id, Address: fmt.Sprint("127.0.0.1:", port), Run: 1, Seq: uint64(at.UnixNano()), Members: uint32(members),
		})
	}
	receive("a", 2, 4, now)
	receive("b", 3, 4, now)
	is.Equal(len(p.newerPeers(0, core.Revision{})), 2) // both count a member that is unknown here
	p.add(core.Peer{ID: "c", Address: "127.0.0.1:4"})
	is.Equal(len(p.newerPeers(0, core.Revision{})), 0)
	receive("c", 4, 4, now)
	later := now.Add(time.Second)
	receive("a", 2, 4, later)
	receive("b", 3, 4, later)
	is.Equal(p.expireSilent(later, 500*time.Millisecond), []core.InstanceID{"c"})
	is.Equal(len(p.newerPeers(0, core.Revision{})), 0) // a and b still count c
}

// TestSlowLink guards against load datagrams that take too long on a slow link. Instances that have not received one yet
// place their calls on the same engine: in a large fleet with links of 10 Mbit/s, full datagrams let 14 calls go to one
// engine within 45 ms.
func TestSlowLink(t *testing.T) {
	is := is.New(t)
	const instances, bytesPerMs, headers = 126, 1250, 28
	p := &Pulse{peers: newPeers(core.Peer{ID: "edge-fukuoka-35", Address: "10.1.64.35:7200", FailureDomain: "fukuoka"}), loads: tally.New()}
	for i := range 10 {
		p.loads.AddOwn(core.EndpointID(fmt.Sprintf("i-%010d", i)), tally.Load{Calls: 3, Tokens: 9000, PrefillTokens: 3000})
	}
	now := time.Unix(1000, 0)
	p.loads.TakeChanged(now)
	p.loads.AddOwn("i-0a6c1baec2", tally.Load{Calls: 1, Tokens: 4691, PrefillTokens: 4527})
	d := p.loadMessage(now, p.loads.TakeChanged(now))
	d.Run, d.Seq, d.Partial = 1<<63, 100_000, true
	is.True(int64((proto.Size(d)+headers)*instances/bytesPerMs) < place.JitterWindow(10).Milliseconds()/10)
}

// TestOutageReported guards against a starting instance that trusts a few instances which are cut off from the store, and against
// one that waits for the store in an outage that the fleet has noticed.
func TestOutageReported(t *testing.T) {
	is := is.New(t)
	p := newPeers(core.Peer{ID: "self", Address: "127.0.0.1:1"})
	seq := uint64(0)
	report := func(n int, down, up bool) {
		seq++
		p.applyFull(time.Unix(1000, 0), &wire.Pulse{
			From: fmt.Sprint("p", n), Address: fmt.Sprint("127.0.0.1:", 10+n), Run: 1, Seq: seq, StoreDown: down, StoreUp: up,
		})
	}
	for n := range minOutageReports {
		is.True(!p.outageReported())
		report(n, true, false)
	}
	is.True(p.outageReported())
	is.True(!p.storeSeen())
	report(0, false, true)
	is.True(!p.outageReported())
	is.True(p.storeSeen())
}
