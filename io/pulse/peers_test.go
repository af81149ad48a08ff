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

// TestEndedInstance guards against a fleet whose instances ask each other for the list of members, again and again, from
// when the first of them notices that an instance has ended until the last one does (pattern: instances are killed).
func TestEndedInstance(t *testing.T) {
	is := is.New(t)
	p := newPeers(core.Peer{ID: "self", Address: "127.0.0.1:1"})
	now := time.Unix(1000, 0)
	hear := func(id string, port, members int, at time.Time) {
		p.hear(at, &wire.Pulse{
			From: id, Address: fmt.Sprint("127.0.0.1:", port), Run: 1, Seq: uint64(at.UnixNano()), Members: uint32(members),
		})
	}
	hear("a", 2, 4, now)
	hear("b", 3, 4, now)
	is.Equal(len(p.newer(0, 0)), 2) // both know one that is not known here
	p.add(core.Peer{ID: "c", Address: "127.0.0.1:4"})
	is.Equal(len(p.newer(0, 0)), 0)
	hear("c", 4, 4, now)
	later := now.Add(time.Second)
	hear("a", 2, 4, later)
	hear("b", 3, 4, later)
	is.Equal(p.lost(later, 500*time.Millisecond), []core.InstanceID{"c"})
	is.Equal(len(p.newer(0, 0)), 0) // the others count c still
}

// TestThinLink guards against news of one call that takes so long on a thin link that other instances send theirs to the
// same engine meanwhile: with whole datagrams 14 calls went to one engine within 45 ms (pattern: a large fleet with links
// of 10 Mbit/s).
func TestThinLink(t *testing.T) {
	is := is.New(t)
	const instances, bytesPerMs, headers = 126, 1250, 28
	p := &Pulse{peers: newPeers(core.Peer{ID: "edge-fukuoka-35", Address: "10.1.64.35:7200", FailureDomain: "fukuoka"}), tally: tally.New()}
	for i := range 10 {
		p.tally.Add(core.EndpointID(fmt.Sprintf("i-%010d", i)), tally.Use{Calls: 3, Tokens: 9000, Unread: 3000})
	}
	now := time.Unix(1000, 0)
	p.tally.Changed(now)
	p.tally.Add("i-0a6c1baec2", tally.Use{Calls: 1, Tokens: 4691, Unread: 4527})
	d := p.load(now, p.tally.Changed(now))
	d.Run, d.Seq, d.Partial = 1<<63, 100_000, true
	is.True(int64((proto.Size(d)+headers)*instances/bytesPerMs) < place.Settle(10).Milliseconds()/10)
}
