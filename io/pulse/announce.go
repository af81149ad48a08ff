package pulse

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"snipeshed/core"
	"snipeshed/wire"
)

const (
	// announceFanout is the number of instances to which each one passes an announcement on. Nearly all of a fleet receive it
	// so; the few others see in the next full datagram of any instance that there is newer data.
	announceFanout = 5
	// maxLeavingInFull bounds the leaving endpoints in a full datagram of a large fleet, which each instance sends to all.
	maxLeavingInFull = 32
)

// Announce tells other instances that this one has a newer configuration or endpoint list, or knows of endpoints that leave.
//
// In a small fleet all of them are told at once. In a large one a few are, and pass it on: the links of the instances that read
// the store can't carry each change to all, as hundreds of endpoints leave in the same second.
func (p *Pulse) Announce() {
	if p.liveCount() < core.LargeFleetInstances {
		p.Broadcast()
		return
	}
	p.pending.addAnnouncement()
	p.wakeSender()
}

// sendAnnouncement sends the versions of this instance's data, and the endpoints that began to leave since its last
// announcement, to a few random instances.
func (p *Pulse) sendAnnouncement(now time.Time) {
	p.sendTo(p.announcementMessage(now, p.State(now)), sample(p.recipients(false), announceFanout))
}

func (p *Pulse) announcementMessage(now time.Time, s State) *wire.Pulse {
	d := p.partialMessage(now)
	d.Announcement, d.Rules = true, uint64(s.ConfigVersion)
	d.Endpoints, d.EndpointsEra = uint64(s.EndpointsRevision.Number), uint64(s.EndpointsRevision.Era)
	encodeLeaving(d, p.announced.takeNew(now, s.Leaving))
	return d
}

// applyAnnouncement applies an announcement of another instance and passes on what is new in it.
func (p *Pulse) applyAnnouncement(now time.Time, d *wire.Pulse) {
	p.updateVersions(core.InstanceID(d.GetFrom()), core.Version(d.GetRules()), p.endpointsRevision(d))
	p.applyLeaving(now, d)
	if p.announced.hasNew(decodeLeaving(d)) {
		p.Announce()
	}
	p.OnUpdate()
}

func (p *Pulse) applyLeaving(now time.Time, d *wire.Pulse) {
	for _, inc := range decodeLeaving(d) {
		p.OnLeaving(now, p.endpointsRevision(d), inc)
	}
}

func encodeLeaving(d *wire.Pulse, leaving []core.Incarnation) {
	for _, inc := range leaving {
		d.Leaving = append(d.Leaving, string(inc.ID))
		d.LeavingStarted = append(d.LeavingStarted, inc.Started)
	}
}

func decodeLeaving(d *wire.Pulse) []core.Incarnation {
	out := make([]core.Incarnation, 0, len(d.GetLeaving()))
	for i, id := range d.GetLeaving() {
		inc := core.Incarnation{ID: core.EndpointID(id)}
		if started := d.GetLeavingStarted(); i < len(started) {
			inc.Started = started[i]
		}
		out = append(out, inc)
	}
	return out
}

// leavingInFull returns the leaving endpoints that a full datagram lists.
func (p *Pulse) leavingInFull(leaving []core.Incarnation) []core.Incarnation {
	if p.liveCount() < core.LargeFleetInstances || len(leaving) <= maxLeavingInFull {
		return leaving
	}
	rand.Shuffle(len(leaving), func(i, j int) { leaving[i], leaving[j] = leaving[j], leaving[i] })
	return leaving[:maxLeavingInFull]
}

// sample returns n random addresses of a list, which it reorders.
func sample(list []netip.AddrPort, n int) []netip.AddrPort {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}
