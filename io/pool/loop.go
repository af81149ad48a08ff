package pool

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"
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
	var wg sync.WaitGroup
	for _, e := range p.dueEndpoints() {
		wg.Go(func() {
			p.Protect("polling an endpoint", func() {
				p.pollEndpoint(ctx, e)
				p.updateRunners()
			})
		})
	}
	wg.Wait()
}

// dueEndpoints returns the endpoints to poll now: first all that have not converged or were not polled for maxPollInterval,
// and then, while the byte budget lasts, the others whose interval has passed, the most overdue first.
func (p *Pool) dueEndpoints() []*endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	p.pollBudget.StartRound(p.id)
	var polled []*endpoint
	due := map[*endpoint]float64{}
	for _, e := range p.endpoints {
		if !e.converged(now) || now.Sub(e.polledAt) >= maxPollInterval {
			p.pollBudget.BeginUrgent(now)
			polled = append(polled, e)
		} else if n := e.intervalsSincePoll(now, p.pollInterval); n >= 1 {
			due[e] = n
		}
	}
	byLag := slices.SortedFunc(maps.Keys(due), func(a, b *endpoint) int { return cmp.Compare(due[b], due[a]) })
	for _, e := range byLag {
		if !p.pollBudget.TryBegin(now, p.id, due[e]) {
			break
		}
		polled = append(polled, e)
	}
	for _, e := range polled {
		e.polledAt = now
	}
	return polled
}

// updateRunners passes the latest reports to the policy. pollDue calls it after each poll, so that an endpoint that does not
// answer does not delay the reports of the others.
func (p *Pool) updateRunners() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setRunners(p.Clock.Now())
}

const tickInterval = 20 * time.Millisecond // a call that the policy's prompt limit delays starts at a tick

func (p *Pool) tickLoop(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		p.tick()
	}
}

func (p *Pool) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	if p.acceptanceChanged(now) {
		p.setRunners(now)
	}
	p.applyActions(p.policy.Tick(now))
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
