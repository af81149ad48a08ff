package pulse

import (
	"time"

	"snipeshed/core"
	"snipeshed/core/elect"
	"snipeshed/core/ring"
	"snipeshed/io/event"
)

func (p *Pulse) sendLoop() {
	r := fullSendState{}
	t := time.NewTimer(0)
	defer t.Stop()
	heartbeat := time.NewTicker(ring.Interval)
	defer heartbeat.Stop()
	readerHeartbeat := time.NewTicker(elect.Interval)
	defer readerHeartbeat.Stop()
	due := time.Now() // when the timer ends
	for {
		woken := false
		var beat func(now time.Time)
		select {
		case <-p.ctx.Done():
			return
		case <-p.wake:
			woken = true
			time.Sleep(coalesceDelay)
		case <-heartbeat.C:
			beat = p.watchRing
		case <-readerHeartbeat.C:
			beat = func(now time.Time) {
				if r.lastContent.reading {
					p.sendReaderHeartbeat(now)
				}
			}
		case <-t.C:
		}
		now := time.Now()
		due = p.forgivePause(now, due)
		if beat != nil {
			beat(now)
			continue
		}
		reqs := p.pending.take()
		if reqs.announce {
			p.sendAnnouncement(now)
		}
		if len(reqs.greet) > 0 && !reqs.full {
			p.sendTo(p.fullMessage(now, p.State(now)), p.addresses(reqs.greet))
		}
		if reqs.load && !reqs.full {
			p.sendPartial(now, reqs) // also before a full datagram, which may not go to all
		}
		if woken && !reqs.full {
			continue
		}
		p.sendFull(now, woken, len(reqs.greet) > 0, &r)
		t.Reset(p.interval())
		due = time.Now().Add(p.interval())
	}
}

// sendPartial sends a partial datagram with the load that has changed since the last datagram.
func (p *Pulse) sendPartial(now time.Time, reqs sendRequests) {
	d := p.loadMessage(now, p.loads.TakeChanged(now))
	d.Partial = true
	if reqs.allDomains || p.liveCount() < core.LargeFleetInstances {
		p.sendTo(d, p.recipients(false))
		return
	}
	p.sendTo(d, p.recipientsIn(reqs.domains))
}

// fullSendState holds when and with which content the last full datagram was sent, and the last one to all instances.
type fullSendState struct {
	lastSent, lastSentToAll, lastProbed time.Time
	lastContent                         content
}

// sendFull sends a full datagram if one was requested, if its content has changed or if the idle interval has passed. In a large
// fleet a change that matters little in other failure domains is sent there at the idle interval only.
func (p *Pulse) sendFull(now time.Time, requested, probePeers bool, last *fullSendState) {
	p.expirePeers(now, p.lostAfter())
	s := p.State(now)
	current := content{
		globalContent{s.ConfigVersion, s.StoreDown, s.StoreUp, s.Reading, s.Stopping, s.Blame.Version},
		s.EndpointsRevision, len(s.Leaving), p.loads.ChangeCount(),
	}
	idle := idleFactor * p.interval()
	if !requested && current == last.lastContent && now.Sub(last.lastSent) < idle {
		return
	}
	toAll := requested || p.liveCount() < core.LargeFleetInstances || current.globalContent != last.lastContent.globalContent ||
		now.Sub(last.lastSentToAll) >= idle
	probe := toAll && (probePeers || now.Sub(last.lastProbed) >= probeInterval)
	if probe {
		last.lastProbed = now
	}
	p.loads.TakeChanged(now) // clears the changes, as the full datagram includes them
	if toAll {
		p.sendTo(p.fullMessage(now, s), p.recipients(probe))
		last.lastSentToAll = now
	} else {
		p.sendTo(p.fullMessage(now, s), p.recipientsIn(nil))
	}
	last.lastSent, last.lastContent = now, current
}

func (p *Pulse) expirePeers(now time.Time, after time.Duration) {
	for _, id := range p.expireSilent(now, after) {
		p.log.Emit(event.PeerLost, event.Fields{"peer": id, "silent_ms": after.Milliseconds()})
	}
}

// content is compared with that of the last full datagram to find out whether anything has changed.
type content struct {
	globalContent
	endpointsRevision core.Revision
	leaving           int
	loadChanges       uint64
}

// globalContent is the part that matters to all instances alike. The endpoint list is not among it, as a large fleet announces
// its changes.
type globalContent struct {
	configVersion      core.Version
	storeDown, storeUp bool
	reading, stopping  bool
	blameVersion       uint64
}
