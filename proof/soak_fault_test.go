package proof_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"snipeshed/stand/link"
	"snipeshed/stand/plat"
)

// fault begins one fault; some last and overlap with the next.
func (s *soak) fault(ctx context.Context, r *rand.Rand, g *sync.WaitGroup) {
	m := s.members[r.IntN(len(s.members))]
	span := time.Duration(200+r.IntN(1200)) * time.Millisecond
	storeFault := []plat.Fault{plat.FaultBusy, plat.FaultMany, plat.FaultReset, plat.FaultLost}[r.IntN(4)]
	kind := r.IntN(12)
	s.t.Logf("fault %d at %s for %v", kind, m.name, span)
	switch kind {
	case 0:
		s.restart(m, syscall.SIGKILL)
	case 1:
		s.restart(m, syscall.SIGTERM)
	case 2: // frozen
		_ = m.cmd.Process.Signal(syscall.SIGSTOP) // it runs; only this goroutine ends it
		time.Sleep(span)
		_ = m.cmd.Process.Signal(syscall.SIGCONT)
	case 3, 4:
		s.leave(r, span, g)
	case 5:
		s.crash(r)
	case 6:
		s.store.SetFault(storeFault)
		time.Sleep(span)
		s.store.SetFault(plat.FaultNone)
	case 7: // the store does not answer one instance
		m.toStore.Stall()
		time.Sleep(span)
		_ = m.toStore.Restore() // fails only when it is closed
	case 8:
		m.toStore.Cut()
	case 9:
		s.trouble(r, m.fromCallers, span, g)
	default:
		s.mu.Lock()
		l := s.links[s.anyEngine(r)]
		s.mu.Unlock()
		s.trouble(r, l, span, g)
	}
}

// trouble disturbs the connections of a link for a while.
func (s *soak) trouble(r *rand.Rand, l *link.Link, span time.Duration, g *sync.WaitGroup) {
	how := r.IntN(5)
	s.t.Logf("trouble %d", how)
	switch how {
	case 0:
		l.Delay(time.Duration(5+r.IntN(100)) * time.Millisecond)
	case 1: // one way
		l.HoldAnswers()
	case 2:
		l.Stall()
	case 3:
		l.Partition()
	default:
		l.Cut()
	}
	g.Go(func() {
		time.Sleep(span)
		l.Delay(0)
		_ = l.Restore() // fails only when it is closed
	})
}

// anyEngine draws a live engine's id, in an order that the seed decides.
func (s *soak) anyEngine(r *rand.Rand) string {
	return slices.Sorted(maps.Keys(s.engines))[r.IntN(len(s.engines))]
}

// pick returns a live engine, in an order that the seed decides.
func (s *soak) pick(r *rand.Rand) (*plat.Engine, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	service := []string{"lm", "app"}[r.IntN(2)]
	for life := 1; life <= s.lives; life++ {
		if e := s.engines[fmt.Sprintf("%s-%d", service, life)]; e != nil {
			return e, service
		}
	}
	return nil, service
}

func (s *soak) replace(e *plat.Engine, service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.engines, e.ID)
	s.past = append(s.past, e)
	s.addEngine(service)
}

// leave takes an engine away with a notice.
func (s *soak) leave(r *rand.Rand, span time.Duration, g *sync.WaitGroup) {
	e, service := s.pick(r)
	if e == nil {
		return
	}
	s.store.Put("servers", e.ID, e.Entry(service, "d1", "draining"))
	e.SetLeaves()
	s.replace(e, service)
	g.Go(func() {
		time.Sleep(1500*time.Millisecond + span)
		s.store.Remove("servers", e.ID)
		s.end(e)
	})
}

// end ends an engine; its address refuses connections from then on.
func (s *soak) end(e *plat.Engine) {
	s.mu.Lock()
	l := s.links[e.ID]
	s.mu.Unlock()
	l.Refuse()
	e.Close()
}

// crash takes an engine away without one.
func (s *soak) crash(r *rand.Rand) {
	if e, service := s.pick(r); e != nil {
		s.replace(e, service)
		s.end(e)
		s.store.Remove("servers", e.ID)
	}
}
