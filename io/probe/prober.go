package probe

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"snipeshed/core"
	"snipeshed/core/fleet"
	"snipeshed/io/event"
)

const (
	// probeInterval is the time between two status requests to one engine. It is short because engines leave from 1.5 s
	// after their notice.
	probeInterval = 400 * time.Millisecond
	// checkInterval is the time between two checks for engines that are due for a status request.
	checkInterval = 100 * time.Millisecond
)

// Prober polls engines until Close.
type Prober struct {
	mover      core.Mover
	fleet      *fleet.Endpoints
	log        *event.Log
	isAssigned func(core.Endpoint) bool
	// onRefused is called when an engine's host refuses a connection; the engine is then unreachable from all instances.
	onRefused func(core.EndpointID)
	// onLeaving is called when an engine reports that it is leaving.
	onLeaving func()
	cancel    context.CancelFunc
	wg        sync.WaitGroup

	mu         sync.Mutex
	lastProbed map[core.EndpointID]time.Time
}

// New starts a Prober; isAssigned reports whether this instance is the one to poll an engine now.
func New(m core.Mover, f *fleet.Endpoints, log *event.Log, isAssigned func(core.Endpoint) bool, onRefused func(core.EndpointID), onLeaving func()) *Prober {
	p := &Prober{mover: m, fleet: f, log: log, isAssigned: isAssigned, onRefused: onRefused, onLeaving: onLeaving, lastProbed: map[core.EndpointID]time.Time{}}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.wg.Go(func() { p.run(ctx) })
	return p
}

func (p *Prober) run(ctx context.Context) {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			p.probeDue(now)
		}
	}
}

// probeDue polls the assigned engines that are due.
func (p *Prober) probeDue(now time.Time) {
	for _, e := range p.fleet.All() {
		if e.Leaving || !p.isDue(now, e.ID) || !p.isAssigned(e.Endpoint) {
			continue
		}
		p.mu.Lock()
		p.lastProbed[e.ID] = now
		p.mu.Unlock()
		p.wg.Go(func() {
			defer p.log.Recover("probing an engine")
			p.probeEngine(e.Endpoint)
		})
	}
}

func (p *Prober) isDue(now time.Time, id core.EndpointID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.lastProbed[id]) >= probeInterval
}

func (p *Prober) probeEngine(e core.Endpoint) {
	r, err := p.mover.EngineStatus(e)
	if err != nil {
		// The network between this instance and the engine may be at fault, so only a refused connection counts against the
		// engine.
		p.log.Emit(event.ProbeFailed, event.Fields{"endpoint": e.ID, "error": err})
		if errors.Is(err, syscall.ECONNREFUSED) {
			p.onRefused(e.ID)
		}
		return
	}
	if r.Leaving {
		p.log.Emit(event.ProbedLeaving, event.Fields{"endpoint": e.ID})
		p.fleet.MarkLeaving(time.Now(), e.Incarnation())
		p.onLeaving()
	}
}

// Close stops polling and waits for requests in flight.
func (p *Prober) Close() {
	p.cancel()
	p.wg.Wait()
}
