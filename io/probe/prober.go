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
	Hooks
	mover  core.Mover
	fleet  *fleet.Endpoints
	log    *event.Log
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu         sync.Mutex
	lastProbed map[core.EndpointID]time.Time
}

// Hooks are the callbacks of a Prober.
type Hooks struct {
	// IsActive reports whether engines are to be polled now. It is called once for all of them, since it looks at every instance.
	IsActive func() bool
	// IsAssigned reports whether this instance is the one to poll an engine.
	IsAssigned func(core.Endpoint) bool
	// OnRefused is called when an engine's host refuses a connection; the engine is then unreachable from all instances.
	OnRefused func(core.EndpointID)
	// OnLeaving is called when an engine reports that it is leaving.
	OnLeaving func()
}

// New starts a Prober.
func New(m core.Mover, f *fleet.Endpoints, log *event.Log, h Hooks) *Prober {
	p := &Prober{Hooks: h, mover: m, fleet: f, log: log, lastProbed: map[core.EndpointID]time.Time{}}
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
	if !p.IsActive() {
		return
	}
	for _, e := range p.fleet.All() {
		if e.Leaving || !p.isDue(now, e.ID) || !p.IsAssigned(e.Endpoint) {
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
			p.OnRefused(e.ID)
		}
		return
	}
	if r.Leaving {
		p.log.Emit(event.ProbedLeaving, event.Fields{"endpoint": e.ID})
		p.fleet.MarkLeaving(time.Now(), e.Incarnation())
		p.OnLeaving()
	}
}

// Close stops polling and waits for requests in flight.
func (p *Prober) Close() {
	p.cancel()
	p.wg.Wait()
}
