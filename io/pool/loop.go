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
	var g errgroup.Group
	for _, e := range p.due() {
		g.Go(func() error {
			p.poll(ctx, e)
			p.refresh()
			return nil
		})
	}
	_ = g.Wait() // no task returns an error
}

// due returns the endpoints to poll now: those that are not in the wanted state, and the most overdue of the others
// while the byte budget lasts.
func (p *Pool) due() []*endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	p.bucket.Round(p.id)
	var polled []*endpoint
	waiting := map[*endpoint]float64{}
	for _, e := range p.endpoints {
		if !e.settled(now) || now.Sub(e.polled) >= longestWait {
			p.bucket.Begin(now)
			polled = append(polled, e)
		} else if overdue := e.overdue(now, p.pollEvery); overdue >= 1 {
			waiting[e] = overdue
		}
	}
	order := slices.SortedFunc(maps.Keys(waiting), func(a, b *endpoint) int { return cmp.Compare(waiting[b], waiting[a]) })
	for _, e := range order {
		if !p.bucket.Grant(now, p.id, waiting[e]) {
			break
		}
		polled = append(polled, e)
	}
	for _, e := range polled {
		e.polled = now
	}
	return polled
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
