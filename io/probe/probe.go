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
	// interval is the time between two reports of one engine; engines leave from 1.5 s after their notice.
	interval = 400 * time.Millisecond
	// idleInterval is the time between two looks whether anything is to be asked.
	idleInterval = 100 * time.Millisecond
)

// Probe asks engines until Close.
type Probe struct {
	mover core.Mover
	fleet *fleet.Fleet
	log   *event.Log
	mine  func(core.Endpoint) bool
	// refused is called when nothing listens at an engine's address, which holds for all instances.
	refused func(core.EndpointID)
	// tell is called when an engine was found to leave.
	tell  func()
	stop  context.CancelFunc
	group sync.WaitGroup

	mu    sync.Mutex
	asked map[core.EndpointID]time.Time
}

// New starts a Probe; mine reports whether this instance is to ask an engine now.
func New(m core.Mover, f *fleet.Fleet, log *event.Log, mine func(core.Endpoint) bool, refused func(core.EndpointID), tell func()) *Probe {
	p := &Probe{mover: m, fleet: f, log: log, mine: mine, refused: refused, tell: tell, asked: map[core.EndpointID]time.Time{}}
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	p.group.Go(func() { p.run(ctx) })
	return p
}

func (p *Probe) run(ctx context.Context) {
	t := time.NewTicker(idleInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			p.round(now)
		}
	}
}

// round asks the engines whose turn it is.
func (p *Probe) round(now time.Time) {
	for _, e := range p.fleet.All() {
		if e.Leaving || !p.due(now, e.ID) || !p.mine(e.Endpoint) {
			continue
		}
		p.mu.Lock()
		p.asked[e.ID] = now
		p.mu.Unlock()
		p.group.Go(func() { p.ask(e.Endpoint) })
	}
}

func (p *Probe) due(now time.Time, id core.EndpointID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.asked[id]) >= interval
}

func (p *Probe) ask(e core.Endpoint) {
	r, err := p.mover.Report(e)
	if err != nil {
		// The link from here may be at fault: others must not leave the engine because of it.
		p.log.Emit(event.ProbeFailed, event.Fields{"endpoint": e.ID, "error": err})
		if errors.Is(err, syscall.ECONNREFUSED) {
			p.refused(e.ID)
		}
		return
	}
	if r.Leaving {
		p.log.Emit(event.ProbedLeaving, event.Fields{"endpoint": e.ID})
		p.fleet.Hint(time.Now(), e.ID)
		p.tell()
	}
}

// Close ends asking and waits for it.
func (p *Probe) Close() {
	p.stop()
	p.group.Wait()
}
