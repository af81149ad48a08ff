package pulse

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/evac"
	"snipeshed/stand/revs"
	"snipeshed/wire"
)

// TestNewerAcrossEras guards against instances that take a list of an earlier history of the store for newer, or a later one for older,
// because of their numbers.
func TestNewerAcrossEras(t *testing.T) {
	for _, tt := range []struct {
		name      string
		told, own core.Revision
		isNewer   bool
	}{
		{"lower, later era", revs.In(1, 5), revs.In(0, 9), true},
		{"higher, earlier era", revs.In(0, 9), revs.In(1, 5), false},
		{"equal, later era", revs.In(1, 9), revs.In(0, 9), true},
		{"higher, same era", revs.In(1, 9), revs.In(1, 5), true},
		{"no era told", revs.At(9), revs.In(1, 5), true},
		{"no era told, lower", revs.At(5), revs.In(1, 9), false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			sender, state := testPulse(t, 0), State{ConfigVersion: 1, EndpointsRevision: tt.told}
			for _, d := range []*wire.Pulse{sender.fullMessage(testTime, state), sender.announcementMessage(testTime, state)} {
				p := testPulse(t, 1)
				p.newerPeers(1, tt.own)
				d.From, d.Address, d.Run, d.Seq = "p0", "127.0.0.1:2", 1, 2
				p.handleDatagram(testTime, d)
				is.Equal(len(p.newerPeers(1, tt.own)) == 1, tt.isNewer)
			}
		})
	}
}

// TestEvacuationsInFull guards against evacuations of an earlier era of the store that are lost on their way to other instances.
func TestEvacuationsInFull(t *testing.T) {
	is := is.New(t)
	want := evac.State{
		Present:     evac.Set{Revision: revs.In(2, 5), Domains: []core.FailureDomain{"a"}},
		Earlier:     []evac.Set{{Revision: revs.In(0, 9), Domains: []core.FailureDomain{"b", "c"}}, {Revision: revs.In(1, 4)}},
		EarlierLeft: time.Minute,
		Ended:       []evac.Ending{{Domain: "c", Era: core.NewEra(1)}},
	}
	is.Equal(decodeEvacuations(testPulse(t, 1).fullMessage(testTime, State{Evacuations: want})), want)
	want.EarlierLeft = 0
	got := decodeEvacuations(testPulse(t, 1).fullMessage(testTime, State{Evacuations: want}))
	is.Equal(got, evac.State{Present: want.Present})
}
