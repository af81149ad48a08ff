package pool

import (
	"cmp"
	"context"
	"maps"
	"slices"
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
		p.pollDue(ctx)
		t.Reset(p.pollInterval)
	}
}

// pollSoon triggers a poll before the next interval, because a new endpoint gets no order before its first report.
func (p *Pool) pollSoon() {
	select {
	case p.pollNow <- struct{}{}:
	default:
	}
}

func (p *Pool) pollDue(ctx context.Context) {
	var g errgroup.Group
	for _, e := range p.dueEndpoints() {
		g.Go(func() error {
			p.pollEndpoint(ctx, e)
			p.updateRunners()
			return nil
		})
	}
	_ = g.Wait() // the tasks return no error
}

// dueEndpoints returns the endpoints to poll now: all that are not settled or were not polled for maxPollInterval, and the
// most overdue of the others while the byte budget lasts.
func (p *Pool) dueEndpoints() []*endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	p.pollBudget.StartRound(p.id)
	var polled []*endpoint
	waiting := map[*endpoint]float64{}
	for _, e := range p.endpoints {
		if !e.settled(now) || now.Sub(e.polledAt) >= maxPollInterval {
			p.pollBudget.BeginUrgent(now)
			polled = append(polled, e)
		} else if overdue := e.overdue(now, p.pollInterval); overdue >= 1 {
			waiting[e] = overdue
		}
	}
	order := slices.SortedFunc(maps.Keys(waiting), func(a, b *endpoint) int { return cmp.Compare(waiting[b], waiting[a]) })
	for _, e := range order {
		if !p.pollBudget.TryBegin(now, p.id, waiting[e]) {
			break
		}
		polled = append(polled, e)
	}
	for _, e := range polled {
		e.polledAt = now
	}
	return polled
}

// updateRunners passes new reports to the policy at once, so that one silent endpoint does not delay the others.
func (p *Pool) updateRunners() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setRunners(p.Clock.Now())
}

const tickInterval = 20 * time.Millisecond // calls that the policy's prompt limit delays start at a tick

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
		p.applyActions(p.policy.Tick(now))
		p.mu.Unlock()
	}
}

// acceptanceChanged reports whether an endpoint accepts work although the policy has it as not accepting, or the
// reverse. The instance list and the end of refusalValidity change this without a new report.
func (p *Pool) acceptanceChanged(now time.Time) bool {
	for _, e := range p.endpoints {
		if e.acceptingInPolicy != e.accepting(now, p.leavingByList) {
			return true
		}
	}
	return false
}
