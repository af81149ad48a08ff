package pulse

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
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
