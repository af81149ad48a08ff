package pulse

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"snipeshed/core"
	"snipeshed/core/tally"
	"snipeshed/io/event"
	"snipeshed/wire"
)

const (
	// shortestInterval and perPeer give the interval between two datagrams to each peer, so that the datagrams that an
	// instance sends in a second stay bounded in a large fleet.
	shortestInterval = 100 * time.Millisecond
	perPeer          = 10 * time.Millisecond
	// quietFactor lengthens the interval while nothing has changed.
	quietFactor = 3
	// lostIntervals is the number of missed quiet intervals after which an instance counts as lost.
	lostIntervals = 3
	// coalesce is how long a datagram that is due now waits for further changes.
	coalesce = 2 * time.Millisecond
	// probeInterval is the time between datagrams to instances that are not live.
	probeInterval = time.Second
	forgetAfter   = time.Minute
	// leavingSpan is how long endpoints that began to leave are named in datagrams.
	leavingSpan = 3 * time.Second
	maxDatagram = 60 << 10
)

// State is what the datagrams tell of this instance.
type State struct {
	Rules     core.Version
	Endpoints core.Version
	StoreDown bool
	StoreUp   bool // the store has answered in the last seconds
	Stopping  bool
	Leaving   []core.EndpointID
	Refusing  []core.EndpointID
}

// Hooks connect a Pulse with the rest of the instance.
type Hooks struct {
	// State returns what to tell.
	State func(now time.Time) State
	// Leaving is called for each endpoint that another instance says is leaving.
	Leaving func(now time.Time, id core.EndpointID)
	// Refusing is called for each endpoint that has refused another instance's connection.
	Refusing func(now time.Time, id core.EndpointID)
	// Newer is called when another instance knows something newer.
	Newer func()
}

// Pulse sends and receives datagrams until Close.
type Pulse struct {
	Hooks
	*peers
	conn  *net.UDPConn
	tally *tally.Tally
	log   *event.Log
	run   uint64
	seq   atomic.Uint64
	wake  chan struct{}
	due   due
	ctx   context.Context
	stop  context.CancelFunc
	group sync.WaitGroup
}

// New listens on the address of self and begins to send.
func New(self core.Peer, t *tally.Tally, log *event.Log, h Hooks) (*Pulse, error) {
	addr, err := net.ResolveUDPAddr("udp", self.Address)
	if err != nil {
		return nil, fmt.Errorf("resolve peer address: %w", err)
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for other instances: %w", err)
	}
	p := &Pulse{
		Hooks: h, peers: newPeers(self), conn: conn, tally: t, log: log, run: rand.Uint64(), wake: make(chan struct{}, 1),
	}
	p.ctx, p.stop = context.WithCancel(context.Background())
	return p, nil
}

// Start begins to send and to receive.
func (p *Pulse) Start() {
	p.group.Go(p.receive)
	p.group.Go(p.send)
}

// Add makes an instance from a list known.
func (p *Pulse) Add(q core.Peer) {
	if p.add(q) {
		p.due.addUnheard()
		p.wakeUp()
	}
}

// Wake sends a datagram to all now.
func (p *Pulse) Wake() {
	p.due.addWhole()
	p.wakeUp()
}

// Tell tells of a change of load at an endpoint of a failure domain, and only of what has changed: a whole datagram to each
// of 125 instances takes 40 ms on a link of 10 Mbit/s.
//
// In a large fleet the instances of that domain and of the own one are told at once, since instances prefer endpoints of
// their own domain; the others hear of it with the next regular datagram, unless all shall hear of it now.
func (p *Pulse) Tell(d core.FailureDomain, all bool) {
	p.due.add(d, all)
	p.wakeUp()
}

func (p *Pulse) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Instances returns the number of live instances, this one included.
func (p *Pulse) Instances() int { return p.live() }

// Members returns the live instances, this one included.
func (p *Pulse) Members() []core.Peer { return p.members() }

// Ahead returns live instances that know something newer than the given versions, or more instances.
func (p *Pulse) Ahead(rules, endpoints core.Version) []core.Peer { return p.newer(rules, endpoints) }

// Watches reports whether this instance is among the n that read the store for all.
func (p *Pulse) Watches(n int, storeDown, storeUp bool) bool { return p.watches(n, storeDown, storeUp) }

// Outage reports whether the store is taken to be down for all instances.
func (p *Pulse) Outage(storeDown, storeUp bool) bool { return p.outage(storeDown, storeUp) }

// First reports whether this instance is the first of the live ones by a hash with a key.
func (p *Pulse) First(key string) bool { return p.first(key) }

func (p *Pulse) interval() time.Duration {
	return max(shortestInterval, time.Duration(p.live())*perPeer)
}

// lostAfter is the silence after which an instance counts as lost and what it had in flight as ended.
func (p *Pulse) lostAfter() time.Duration { return quietFactor * lostIntervals * p.interval() }

func (p *Pulse) send() {
	r := regular{}
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		woken := false
		select {
		case <-p.ctx.Done():
			return
		case <-p.wake:
			woken = true
			time.Sleep(coalesce)
		case <-t.C:
		}
		now := time.Now()
		to := p.due.take()
		if woken && !to.whole {
			p.sendChanged(now, to)
			continue
		}
		p.sendRegular(now, woken, to.unheard, &r)
		t.Reset(p.interval())
	}
}

// sendChanged tells what has changed of the load.
func (p *Pulse) sendChanged(now time.Time, to told) {
	d := p.load(now, p.tally.Changed(now))
	d.Partial = true
	if to.all || p.live() < core.LargeFleet {
		p.write(d, p.targets(false))
		return
	}
	p.write(d, p.near(to.domains))
}

// regular is the state of the datagrams that go to all.
type regular struct {
	sent, probed time.Time
	before       content
}

// sendRegular sends a datagram to all when it was asked for, says something new or is due.
func (p *Pulse) sendRegular(now time.Time, asked, unheard bool, r *regular) {
	p.drop(now, p.lostAfter())
	state := p.State(now)
	current := content{state.Rules, state.Endpoints, state.StoreDown, state.StoreUp, state.Stopping, len(state.Leaving), p.tally.Changes()}
	if !asked && current == r.before && now.Sub(r.sent) < quietFactor*p.interval() {
		return
	}
	probe := unheard || now.Sub(r.probed) >= probeInterval
	if probe {
		r.probed = now
	}
	p.tally.Changed(now) // all of it is told now
	p.write(p.message(now, state), p.targets(probe))
	r.sent, r.before = now, current
}

func (p *Pulse) drop(now time.Time, after time.Duration) {
	for _, id := range p.lost(now, after) {
		p.log.Emit(event.PeerLost, event.Fields{"peer": id, "silent_ms": after.Milliseconds()})
	}
}

// content tells whether a datagram would say something else than the one before.
type content struct {
	rules, endpoints   core.Version
	storeDown, storeUp bool
	stopping           bool
	leaving            int
	uses               uint64
}

// message returns a datagram without its number.
func (p *Pulse) message(now time.Time, s State) *wire.Pulse {
	d := p.load(now, p.tally.Own(now))
	d.Address, d.Domain = p.self.Address, string(p.self.FailureDomain)
	d.Rules, d.Endpoints, d.Members = uint64(s.Rules), uint64(s.Endpoints), uint32(p.live())
	d.StoreDown, d.StoreUp, d.Stopping = s.StoreDown, s.StoreUp, s.Stopping
	for _, id := range s.Leaving {
		d.Leaving = append(d.Leaving, string(id))
	}
	for _, id := range s.Refusing {
		d.Refusing = append(d.Refusing, string(id))
	}
	return d
}

// load returns a datagram that tells only of load.
func (p *Pulse) load(now time.Time, uses map[core.EndpointID]tally.Use) *wire.Pulse {
	waiting, _ := p.tally.Waiting(now)
	d := &wire.Pulse{From: string(p.self.ID), Run: p.run, Waiting: uint32(max(waiting, 0))}
	for id, u := range uses {
		d.Uses = append(d.Uses, &wire.EndpointUse{
			Endpoint: string(id), Calls: uint32(max(u.Calls, 0)), Tokens: uint32(max(u.Tokens, 0)),
			Bare: uint32(max(u.Bare, 0)), Unread: uint32(max(u.Unread, 0)), Failed: uint32(u.Failed), Ended: uint32(u.Ended),
		})
	}
	return d
}

func (p *Pulse) write(d *wire.Pulse, to []netip.AddrPort) {
	d.Seq = p.seq.Add(1)
	b, err := proto.Marshal(d)
	if err != nil || len(b) > maxDatagram {
		p.log.Emit(event.LinesDropped, event.Fields{"of": "datagram", "bytes": len(b), "error": err})
		return
	}
	for _, address := range to {
		_, _ = p.conn.WriteToUDPAddrPort(b, address) // a lost datagram is made up for by the next
	}
}

func (p *Pulse) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(buf)
		if p.ctx.Err() != nil {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond) // errors of earlier sends are reported here
			continue
		}
		d := &wire.Pulse{}
		if proto.Unmarshal(buf[:n], d) == nil {
			p.take(time.Now(), d)
		}
	}
}

func (p *Pulse) take(now time.Time, d *wire.Pulse) {
	from := core.InstanceID(d.GetFrom())
	if d.GetPartial() {
		if p.hearPartial(now, d) {
			p.tally.Update(now, from, uses(d))
			p.tally.ReportWaiting(from, int(d.GetWaiting()))
		}
		return
	}
	fresh, found := p.hear(now, d)
	if !fresh {
		return
	}
	if found {
		p.log.Emit(event.PeerFound, event.Fields{"peer": from, "address": d.GetAddress(), "rules": d.GetRules()})
		p.Wake()
	}
	p.tally.Report(now, now.Add(p.lostAfter()), from, uses(d))
	p.tally.ReportWaiting(from, int(d.GetWaiting()))
	for _, id := range d.GetLeaving() {
		p.Leaving(now, core.EndpointID(id))
	}
	for _, id := range d.GetRefusing() {
		p.Refusing(now, core.EndpointID(id))
	}
	p.Newer()
}

func uses(d *wire.Pulse) map[core.EndpointID]tally.Use {
	out := make(map[core.EndpointID]tally.Use, len(d.GetUses()))
	for _, u := range d.GetUses() {
		out[core.EndpointID(u.GetEndpoint())] = tally.Use{
			Calls: int(u.GetCalls()), Tokens: core.Tokens(u.GetTokens()), Bare: core.Tokens(u.GetBare()), Unread: core.Tokens(u.GetUnread()),
			Failed: int(u.GetFailed()), Ended: int(u.GetEnded()),
		}
	}
	return out
}

// Close ends sending and receiving and waits for both.
func (p *Pulse) Close() {
	p.stop()
	_ = p.conn.Close()
	p.group.Wait()
}
