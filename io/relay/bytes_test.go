package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/core/member"
	"snipeshed/core/state"
	"snipeshed/io/link"
	"snipeshed/io/roster"
	"snipeshed/io/store"
	"snipeshed/stand/objs"
)

// tcpNode is the control plane of an instance on loopback with default settings.
type tcpNode struct {
	*Gossiper
	peer     core.Peer
	listener net.Listener
	server   *link.Network
	platform *link.Network
	roster   *roster.Client
	cfg      *conf.Settings
	close    func()
}

func (n *tcpNode) bytes() int64 {
	var total int64
	for _, count := range []func() (int64, int64){n.Bytes, n.server.Bytes, n.platform.Bytes, n.roster.Bytes} {
		sent, received := count()
		total += sent + received
	}
	return total
}

func startTCP(t *testing.T, platform *objs.Platform, size int) []*tcpNode {
	is := is.New(t)
	var nodes []*tcpNode
	for i := range size {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		n := &tcpNode{listener: ln, cfg: &conf.Settings{PlatformUrl: platform.URL()}}
		conf.SetDefaults(n.cfg)
		n.peer = core.Peer{
			ID: core.InstanceID(fmt.Sprintf("instance-%03d", i)), Address: ln.Addr().String(),
			FailureDomain: core.FailureDomain(fmt.Sprintf("zone-%d", i%3)),
		}
		platform.SetInstance(objs.Instance{
			ID: string(n.peer.ID), Address: n.peer.Address, FailureDomain: n.peer.FailureDomain,
			Kind: member.KindInstance, State: member.StateLive,
		})
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		log := logrus.New()
		log.SetOutput(io.Discard)
		shared := core.NewCommon(logrus.NewEntry(log))
		n.platform = link.New(n.cfg)
		s := store.New(shared, n.cfg, n.platform)
		n.roster = roster.New(n.cfg)
		n.Gossiper = New(shared, n.cfg, member.New(n.peer, ms(n.cfg.GetSuspectMs())), state.New(), s, n.roster)
		n.server = link.New(n.cfg)
		srv := n.server.PeerServer(n.Handler())
		go func() { _ = srv.Serve(n.server.CountingListener(n.listener)) }()
		n.close = func() {
			n.Close()
			_ = srv.Close()
			s.Close()
			n.roster.Close()
		}
		t.Cleanup(n.close)
		n.Start()
	}
	for _, n := range nodes {
		<-n.Ready()
	}
	return nodes
}

func startPlatform(t *testing.T) *objs.Platform {
	platform := objs.New()
	is.New(t).NoErr(platform.Start())
	t.Cleanup(func() { _ = platform.Close() })
	return platform
}

// TestSteadyBytes guards against control traffic above 2 KB per second and instance in a fleet without changes, and against a
// mean that leaves too little of it for polls. It counts both directions at both ends of each connection, those to the
// platform included, at default settings.
func TestSteadyBytes(t *testing.T) {
	is := is.New(t)
	nodes := startTCP(t, startPlatform(t), 9)
	time.Sleep(2 * time.Second)
	before := make([]int64, len(nodes))
	for i, n := range nodes {
		before[i] = n.bytes()
	}
	const (
		seconds = 4
		budget  = 2000
	)
	polls := nodes[0].cfg.GetPollBytesPerS()
	time.Sleep(seconds * time.Second)
	var sum int64
	for i, n := range nodes {
		perSecond := (n.bytes() - before[i]) / seconds
		sum += perSecond
		t.Logf("instance=%s bytes_per_s=%d", n.peer.ID, perSecond)
		is.True(perSecond < budget)
	}
	mean := sum / int64(len(nodes))
	t.Logf("mean_bytes_per_s=%d", mean)
	is.True(mean < budget-polls)
}

// TestExchangeBytes guards against exchanges without changes that send more than the digests, or that open a new
// connection each time.
func TestExchangeBytes(t *testing.T) {
	is := is.New(t)
	nodes := startTCP(t, startPlatform(t), 2)
	nodes[0].stop() // so that there are no other exchanges
	time.Sleep(1200 * time.Millisecond)
	total := func() int64 {
		sent, received := nodes[0].Bytes()
		return sent + received
	}
	is.NoErr(nodes[0].exchange(context.Background(), nodes[1].peer))
	before := total()
	const rounds = 50
	for range rounds {
		is.NoErr(nodes[0].exchange(context.Background(), nodes[1].peer))
	}
	perExchange := (total() - before) / rounds
	t.Logf("bytes_per_exchange=%d", perExchange)
	is.True(perExchange < 250)
}

// TestSilentConnection guards against a peer whose open connection stopped answering and that stays suspect although new
// connections work.
func TestSilentConnection(t *testing.T) {
	is := is.New(t)
	nodes := startTCP(t, startPlatform(t), 2)
	hang := make(chan struct{})
	defer close(hang)
	var once atomic.Bool
	h := nodes[1].Handler()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	srv := link.New(nodes[1].cfg).PeerServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if once.CompareAndSwap(false, true) {
			select {
			case <-hang:
			case <-req.Context().Done():
			}
			return
		}
		h.ServeHTTP(w, req)
	}))
	go func() { _ = srv.Serve(ln) }()
	defer srv.Close()
	p := nodes[1].peer
	p.Address = ln.Addr().String()
	began := time.Now()
	is.True(nodes[0].exchange(context.Background(), p) != nil)
	is.True(time.Since(began) < exchangeTimeout+time.Second)
	is.Equal(len(nodes[0].members.Peers(time.Now())), 0) // suspect
	is.NoErr(nodes[0].exchange(context.Background(), p))
	is.Equal(len(nodes[0].members.Peers(time.Now())), 1)
}
