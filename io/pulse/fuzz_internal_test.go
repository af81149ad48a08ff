package pulse

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"snipeshed/core"
	"snipeshed/core/ring"
	"snipeshed/core/tally"
	"snipeshed/io/event"
	"snipeshed/wire"
)

// FuzzDatagram guards against a datagram that panics when it is read or handled.
func FuzzDatagram(f *testing.F) {
	seeds := []*wire.Pulse{
		{From: "b", Address: "127.0.0.1:2", Run: 1, Seq: 2, Uses: []*wire.EndpointUse{{Endpoint: "e", Calls: 1, Tokens: 1 << 31}}},
		{From: "b", Run: 1, Seq: 3, Partial: true, Lost: []*wire.LostInstance{{Instance: "self", Run: 7}, {Instance: "b", Run: 1}}},
		{From: "b", Run: 1, Seq: 4, Partial: true, Announcement: true, Leaving: []string{"e"}, LeavingStarted: []int64{-1, 2}},
		{From: "c", Address: "not an address", Crashes: []*wire.EngineCrash{{Endpoint: "e", AgeMs: 1 << 63}}, Cleared: []*wire.ClearedPart{{}}},
	}
	for _, d := range seeds {
		b, err := proto.Marshal(d)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var out bytes.Buffer
		log := event.New(&out, "self", logrus.InfoLevel)
		p := &Pulse{
			Hooks: Hooks{
				OnUpdate: func() {}, OnLeaving: func(time.Time, core.Revision, core.Incarnation) {}, State: func(time.Time) State { return State{} },
				OnRefusing: func(time.Time, core.EndpointID) {}, OnBlame: func(time.Time, core.BlameReport) {},
			},
			peers: newPeers(core.Peer{ID: "self", Address: "127.0.0.1:1"}), loads: tally.New(), log: log, ring: ring.New("self"), runID: 7,
		}
		p.applyFull(time.Unix(1000, 0), &wire.Pulse{From: "b", Address: "127.0.0.1:2", Run: 1, Seq: 1})
		p.receive(time.Unix(1010, 0), b)
		log.Close()
		if strings.Contains(out.String(), "msg=panicked") {
			t.Fatal(out.String())
		}
	})
}
