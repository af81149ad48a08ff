package pool

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

func (p *Pool) pollLoop(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-p.pollNow:
		}
		p.pollAll(ctx)
		t.Reset(p.pollEvery)
	}
}

// pollSoon polls before the next interval, because a new endpoint gets no order before its first report.
func (p *Pool) pollSoon() {
	select {
	case p.pollNow <- struct{}{}:
	default:
	}
}

func (p *Pool) pollAll(ctx context.Context) {
	p.mu.Lock()
	polled := make([]*endpoint, 0, len(p.endpoints))
	now := p.Clock.Now()
	for _, e := range p.endpoints {
		if e.due(now, p.pollEvery) {
			e.polled = now
			polled = append(polled, e)
		}
	}
	p.mu.Unlock()
	var g errgroup.Group
	for _, e := range polled {
		g.Go(func() error {
			p.poll(ctx, e)
			p.refresh()
			return nil
		})
	}
	_ = g.Wait() // no task returns an error
}

// refresh tells the policy of new reports at once, so that one silent endpoint does not delay the others.
func (p *Pool) refresh() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setRunners(p.Clock.Now())
}

const tickInterval = 20 * time.Millisecond // a start that the prompt limit holds back happens at a tick

func (p *Pool) tickLoop(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		p.mu.Lock()
		now := p.Clock.Now()
		if p.acceptanceChanged(now) {
			p.setRunners(now)
		}
		p.apply(p.policy.Tick(now))
		p.mu.Unlock()
	}
}

// acceptanceChanged reports whether an endpoint's acceptance is not what the policy was told last. The instance list
// and the end of a refusal change it without a report.
func (p *Pool) acceptanceChanged(now time.Time) bool {
	for _, e := range p.endpoints {
		if e.told != e.accepting(now, p.listLeaving) {
			return true
		}
	}
	return false
}
