package pulse

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"snipeshed/core"
	"snipeshed/core/elect"
	"snipeshed/core/ring"
	"snipeshed/core/tally"
	"snipeshed/io/event"
	"snipeshed/wire"
)

// testTime is the time at which testPulse has heard from the other instances.
var testTime = time.Unix(1000, 0)

// testPulse returns a Pulse of the instance self that sends nothing and has heard from n others: p0, p1 and so on, in run 1.
func testPulse(t *testing.T, n int) *Pulse {
	log := event.New(t.Output(), "self", logrus.ErrorLevel)
	t.Cleanup(log.Close)
	p := &Pulse{
		Hooks: Hooks{
			OnUpdate: func() {}, OnLeaving: func(time.Time, core.Revision, core.Incarnation) {},
			State: func(time.Time) State { return State{} },
		},
		peers: newPeers(core.Peer{ID: "self", Address: "127.0.0.1:1"}), loads: tally.New(), log: log, ring: ring.New("self"), election: elect.New(core.Peer{ID: "self"}, Readers), runID: 7,
	}
	for i := range n {
		p.applyFull(testTime, &wire.Pulse{From: fmt.Sprint("p", i), Address: fmt.Sprint("127.0.0.1:", 2+i), Run: 1, Seq: 1})
	}
	return p
}

func listenUDP(t *testing.T) *net.UDPConn {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// countDatagrams returns an address and the number of datagrams that have arrived there.
func countDatagrams(t *testing.T) (string, *atomic.Int64) {
	conn := listenUDP(t)
	var n atomic.Int64
	go func() {
		for buf := make([]byte, maxDatagram); ; n.Add(1) {
			if _, _, err := conn.ReadFromUDPAddrPort(buf); err != nil {
				return
			}
		}
	}()
	return conn.LocalAddr().String(), &n
}
