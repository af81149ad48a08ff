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

// injectFault injects a random fault. Some faults last after it has returned and so overlap with the next.
func (s *soakRun) injectFault(ctx context.Context, r *rand.Rand, g *sync.WaitGroup) {
	inst := s.instances[r.IntN(len(s.instances))]
	span := time.Duration(200+r.IntN(1200)) * time.Millisecond
	storeFault := []plat.StoreFault{plat.FaultUnavailable, plat.FaultTooManyRequests, plat.FaultReset, plat.FaultAnswerLost}[r.IntN(4)]
	kinds := []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14}
	if s.plannedOnly {
		kinds = []int{1, 1, 1, 3, 4, 6, 8, 12, 13, 14}
	}
	kind := kinds[r.IntN(len(kinds))]
	s.t.Logf("fault %d at %s for %v", kind, inst.name, span)
	switch kind {
	case 0:
		s.restart(inst, syscall.SIGKILL)
	case 1:
		s.restart(inst, syscall.SIGTERM)
	case 2: // the process is paused
		_ = inst.cmd.Process.Signal(syscall.SIGSTOP) // the process runs, since only this goroutine ends it
		time.Sleep(span)
		_ = inst.cmd.Process.Signal(syscall.SIGCONT)
	case 3, 4:
		s.drainEngine(r, span, g)
	case 5:
		s.crashEngine(r)
	case 6:
		s.store.SetFault(storeFault)
		time.Sleep(span)
		s.store.SetFault(plat.FaultNone)
	case 7: // one instance gets no answers from the store
		inst.storeLink.Stall()
		time.Sleep(span)
		_ = inst.storeLink.Restore() // fails only when the link is closed
	case 8:
		inst.storeLink.ResetConnections()
	case 9:
		s.disturbLink(r, inst.callerLink, span, g)
	case 12: // an engine generates nothing for a while
		s.mu.Lock()
		e := s.engines[s.randomEngineID(r)]
		s.mu.Unlock()
		e.SetPaused(true)
		g.Go(func() {
			time.Sleep(span)
			e.SetPaused(false)
		})
	case 13:
		s.configure()
	case 14:
		_ = inst.cmd.Process.Signal(syscall.SIGHUP) // the process runs, as above
	default:
		s.mu.Lock()
		l := s.links[s.randomEngineID(r)]
		s.mu.Unlock()
		s.disturbLink(r, l, span, g)
	}
}

// disturbLink injects a random network fault into a link and ends it after a while.
func (s *soakRun) disturbLink(r *rand.Rand, l *link.Link, span time.Duration, g *sync.WaitGroup) {
	fault := r.IntN(5)
	s.t.Logf("network fault %d", fault)
	switch fault {
	case 0:
		l.SetDelay(time.Duration(5+r.IntN(100)) * time.Millisecond)
	case 1: // requests pass, answers are held back
		l.HoldAnswers()
	case 2:
		l.Stall()
	case 3:
		l.Partition()
	default:
		l.ResetConnections()
	}
	g.Go(func() {
		time.Sleep(span)
		l.SetDelay(0)
		_ = l.Restore() // fails only when the link is closed
	})
}

// randomEngineID returns the id of a random running engine; the order is fixed, so that a seed repeats its choices.
func (s *soakRun) randomEngineID(r *rand.Rand) string {
	return slices.Sorted(maps.Keys(s.engines))[r.IntN(len(s.engines))]
}

// pickEngine returns the oldest running engine of a random service, and the service; a seed repeats its choices.
func (s *soakRun) pickEngine(r *rand.Rand) (*plat.Engine, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	service := []string{"lm", "app"}[r.IntN(2)]
	for n := 1; n <= s.enginesStarted; n++ {
		if e := s.engines[fmt.Sprintf("%s-%d", service, n)]; e != nil {
			return e, service
		}
	}
	return nil, service
}

func (s *soakRun) replaceEngine(e *plat.Engine, service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.engines, e.ID)
	s.stoppedEngines = append(s.stoppedEngines, e)
	s.addEngine(service)
}

// drainEngine announces that an engine leaves, starts its replacement and stops it later.
func (s *soakRun) drainEngine(r *rand.Rand, span time.Duration, g *sync.WaitGroup) {
	e, service := s.pickEngine(r)
	if e == nil {
		return
	}
	s.entries.put(s.store, e.ID, e.ObjectSpec(service, "d1", "draining"))
	e.SetLeaving()
	s.replaceEngine(e, service)
	g.Go(func() {
		time.Sleep(soakDrainTime + span)
		s.entries.awaitDrained()
		s.entries.remove(s.store, e.ID)
		s.stopEngine(e)
	})
}

// stopEngine closes an engine; its address refuses connections from then on.
func (s *soakRun) stopEngine(e *plat.Engine) {
	s.mu.Lock()
	l := s.links[e.ID]
	s.mu.Unlock()
	l.RefuseConnections()
	e.Close()
}

// crashEngine stops an engine without notice and starts its replacement.
func (s *soakRun) crashEngine(r *rand.Rand) {
	if e, service := s.pickEngine(r); e != nil {
		s.replaceEngine(e, service)
		s.stopEngine(e)
		s.entries.remove(s.store, e.ID)
	}
}
