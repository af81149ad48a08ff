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
	"snipeshed/core/elect"
	"snipeshed/core/evac"
	"snipeshed/core/ring"
	"snipeshed/core/tally"
	"snipeshed/io/event"
	"snipeshed/wire"
)

// Readers is the number of instances that read the store on behalf of all.
const Readers = 2

const (
	// minInterval and intervalPerPeer determine the interval between full datagrams; it grows with the number of instances,
	// so that the rate at which an instance sends stays bounded in a large fleet.
	minInterval     = 100 * time.Millisecond
	intervalPerPeer = 10 * time.Millisecond
	// idleFactor multiplies the interval while nothing has changed.
	idleFactor = 3
	// maxMissedIntervals is the number of idle intervals without a datagram after which an instance counts as lost.
	maxMissedIntervals = 3
	// coalesceDelay delays a requested datagram so that changes of the same moment share it.
	coalesceDelay = 2 * time.Millisecond
	// probeInterval is the time between datagrams to instances that are not live.
	probeInterval = time.Second
	// removeAfter is the silence after which an instance is removed from the table of peers.
	removeAfter = time.Minute
	maxDatagram = 60 << 10 // bytes
)

// State is the state of this instance that full datagrams carry besides its load.
type State struct {
	ConfigVersion     core.Version  // of the configuration in force
	EndpointsRevision core.Revision // of the endpoint list
	StoreDown         bool          // the last call of the store failed
	StoreUp           bool          // the store has answered in the last seconds
	Reading           bool          // this instance follows the changes of the store, which has answered
	Stopping          bool
	Leaving           []core.Incarnation
	Refusing          []core.EndpointID
	Blame             core.BlameReport
	Evacuations       evac.State
}

// Hooks are the callbacks of a Pulse.
type Hooks struct {
	// State returns the state to send.
	State func(now time.Time) State
	// OnLeaving is called for each endpoint that another instance, whose endpoint list has the given revision, reports as
	// leaving.
	OnLeaving func(now time.Time, revision core.Revision, inc core.Incarnation)
	// OnRefusing is called for each endpoint that another instance reports as refusing connections.
	OnRefusing func(now time.Time, id core.EndpointID)
	// OnBlame is called with the crashes and cleared parts that another instance reports.
	OnBlame func(now time.Time, r core.BlameReport)
	// OnEvacuated is called with what another instance knows of the evacuated failure domains.
	OnEvacuated func(now time.Time, s evac.State)
	// OnUpdate is called after each full datagram, which may announce a newer configuration, endpoint list or member.
	OnUpdate func()
}

// Pulse sends and receives datagrams from Start until Close.
type Pulse struct {
	Hooks
	*peers
	conn      *net.UDPConn
	loads     *tally.LoadTable
	log       *event.Log
	runID     uint64
	seq       atomic.Uint64
	wake      chan struct{}
	pending   pendingSends
	announced announcedSet
	// clampLoggedAt is when a malformed timing was last logged; used by receiveLoop only.
	clampLoggedAt time.Time
	ring          *ring.Detector // used by sendLoop only
	election      *elect.Election
	ctx           context.Context
	stop          context.CancelFunc
	group         sync.WaitGroup
}

// New binds the UDP address of self; Start begins the exchange.
func New(self core.Peer, t *tally.LoadTable, log *event.Log, h Hooks) (*Pulse, error) {
	addr, err := net.ResolveUDPAddr("udp", self.Address)
	if err != nil {
		return nil, fmt.Errorf("resolve peer address: %w", err)
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for other instances: %w", err)
	}
	p := &Pulse{
		Hooks: h, peers: newPeers(self), conn: conn, loads: t, log: log, runID: rand.Uint64(), wake: make(chan struct{}, 1),
		ring: ring.New(self.ID), election: elect.New(self, Readers),
	}
	p.ctx, p.stop = context.WithCancel(context.Background())
	return p, nil
}

// Start begins to send and to receive.
func (p *Pulse) Start() {
	p.group.Go(p.receiveLoop)
	p.group.Go(p.sendLoop)
}

// Add adds an instance and sends it a datagram if it was unknown.
func (p *Pulse) Add(q core.Peer) {
	if p.add(q) {
		p.greet(q.ID)
	}
}

// Broadcast sends a full datagram to all live instances without waiting for the next interval.
func (p *Pulse) Broadcast() {
	p.pending.addFull()
	p.wakeSender()
}

// SendLoadChanges sends the changes of this instance's load soon after a change at an endpoint in the given failure domain.
// The datagram is partial, with only the changes: a full one to each of 125 instances takes 40 ms on a link of 10 Mbit/s.
//
// In a large fleet, unless allDomains is set, only the instances in that domain and in this instance's own receive it, since
// instances prefer endpoints of their own domain. The others receive the change with the next full datagram.
func (p *Pulse) SendLoadChanges(domain core.FailureDomain, allDomains bool) {
	p.pending.addLoad(domain, allDomains)
	p.wakeSender()
}

func (p *Pulse) wakeSender() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *Pulse) interval() time.Duration {
	return max(minInterval, time.Duration(p.liveCount())*intervalPerPeer)
}

// lostAfter returns the silence after which an instance counts as lost and its calls in flight as ended.
func (p *Pulse) lostAfter() time.Duration { return idleFactor * maxMissedIntervals * p.interval() }

// fullMessage returns a full datagram; its sequence number is set when it is sent.
func (p *Pulse) fullMessage(now time.Time, s State) *wire.Pulse {
	d := p.loadMessage(now, p.loads.OwnLoads(now))
	d.Address, d.Domain = p.self.Address, string(p.self.FailureDomain)
	d.Rules, d.Members = uint64(s.ConfigVersion), uint32(p.liveCount())
	d.Endpoints, d.EndpointsEra = uint64(s.EndpointsRevision.Number), uint64(s.EndpointsRevision.Era)
	d.StoreDown, d.StoreUp, d.Standby, d.Stopping = s.StoreDown, s.StoreUp, !s.Reading, s.Stopping
	encodeLeaving(d, p.leavingInFull(s.Leaving))
	for _, id := range s.Refusing {
		d.Refusing = append(d.Refusing, string(id))
	}
	encodeBlame(d, s.Blame)
	encodeEvacuations(d, s.Evacuations)
	return d
}

// loadMessage returns a datagram that holds only the given load and the number of waiting calls.
func (p *Pulse) loadMessage(now time.Time, loads map[core.EndpointID]tally.Load) *wire.Pulse {
	waiting, _ := p.loads.WaitingCalls(now)
	d := &wire.Pulse{From: string(p.self.ID), Run: p.runID, Waiting: uint32(max(waiting, 0))}
	for id, load := range loads {
		d.Uses = append(d.Uses, &wire.EndpointUse{
			Endpoint: string(id), Calls: uint32(max(load.Calls, 0)), Tokens: uint32(max(load.Tokens, 0)),
			Bare: uint32(max(load.UncopiedTokens, 0)), Unread: uint32(max(load.PrefillTokens, 0)),
			Failed: uint32(load.Failed), Ended: uint32(load.Ended), Light: encodeTiming(load.Light), Crowded: encodeTiming(load.Crowded),
		})
	}
	return d
}

func (p *Pulse) sendTo(d *wire.Pulse, to []netip.AddrPort) {
	d.Seq = p.seq.Add(1)
	b, err := proto.Marshal(d)
	if err != nil || len(b) > maxDatagram {
		p.log.Emit(event.LinesDropped, event.Fields{"of": "datagram", "bytes": len(b), "error": err})
		return
	}
	for _, address := range to {
		_, _ = p.conn.WriteToUDPAddrPort(b, address) // the next datagram makes up for a lost one
	}
}

func (p *Pulse) receiveLoop() {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(buf)
		if p.ctx.Err() != nil {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond) // the error may stem from an earlier send (ICMP); the delay avoids a busy loop
			continue
		}
		p.receive(time.Now(), buf[:n])
	}
}

// receive handles one datagram. An error in one must not end the process, since its sender repeats it to every instance.
func (p *Pulse) receive(now time.Time, b []byte) {
	defer p.log.Recover("datagram")
	d := &wire.Pulse{}
	if proto.Unmarshal(b, d) == nil {
		p.handleDatagram(now, d)
	}
}

func (p *Pulse) handleDatagram(now time.Time, d *wire.Pulse) {
	from := core.InstanceID(d.GetFrom())
	if d.GetPartial() {
		if p.applyPartial(now, d) {
			p.loads.UpdatePeer(now, from, p.decodeLoads(now, d))
			p.loads.SetPeerWaiting(from, int(d.GetWaiting()))
			p.applyLost(now, from, d.GetLost())
			if d.GetAnnouncement() {
				p.applyAnnouncement(now, d)
			}
		}
		return
	}
	isLatest, becameLive := p.applyFull(now, d)
	if !isLatest {
		return
	}
	if becameLive {
		p.log.Emit(event.PeerFound, event.Fields{"peer": from, "address": d.GetAddress(), "rules": d.GetRules()})
		p.greet(from)
	}
	p.loads.ReplacePeer(now, now.Add(p.lostAfter()), from, p.decodeLoads(now, d))
	p.loads.SetPeerWaiting(from, int(d.GetWaiting()))
	p.applyLeaving(now, d)
	for _, id := range d.GetRefusing() {
		p.OnRefusing(now, core.EndpointID(id))
	}
	if r := decodeBlame(d); len(r.Crashes)+len(r.Cleared) > 0 {
		p.OnBlame(now, r)
	}
	if s := decodeEvacuations(d); !s.Present.Revision.IsZero() {
		p.OnEvacuated(now, s)
	}
	p.OnUpdate()
}

// greet sends the state of this instance to one that is new here. Those that become known in the same moment, as many do when a
// fleet starts, share a datagram; the others get none.
func (p *Pulse) greet(id core.InstanceID) {
	p.pending.addGreeting(id)
	p.wakeSender()
}

// Close stops sending and receiving and waits until both have ended.
func (p *Pulse) Close() {
	p.stop()
	_ = p.conn.Close()
	p.group.Wait()
}
