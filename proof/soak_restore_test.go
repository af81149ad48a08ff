package proof_test

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"snipeshed/stand/plat"
)

const (
	// soakDrainTime is how long an engine serves after the store has its entry as draining.
	soakDrainTime = 1500 * time.Millisecond
	// soakRewriteTime bounds the time after a return of the store until the engines and the operator have written again what it lost.
	soakRewriteTime = 400 * time.Millisecond
	// soakHeartbeats is how often each entry is written between a copy and the return from it.
	soakHeartbeats = 10
	// soakFollowTime bounds the time until all instances use the endpoints of the store only.
	soakFollowTime = 2 * time.Second
)

// soakEntries are the entries that the engines last wrote, so that they can write them again; it is safe for concurrent use.
type soakEntries struct {
	mu         sync.Mutex
	specs      map[string]map[string]any // nil for entries that were removed
	incomplete bool                      // the store lacks some of them
	rewritten  time.Time
}

func (e *soakEntries) put(store *plat.Store, id string, spec map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.specs == nil {
		e.specs = map[string]map[string]any{}
	}
	e.specs[id] = spec
	store.Put("servers", id, spec)
}

func (e *soakEntries) remove(store *plat.Store, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.specs[id] = nil
	store.Remove("servers", id)
}

// restore lets the store come back from a copy.
func (e *soakEntries) restore(store *plat.Store, c plat.StoreCopy) {
	e.mu.Lock()
	defer e.mu.Unlock()
	store.Restore(c)
	e.incomplete = true
}

// rewrite writes again what the store has lost.
func (e *soakEntries) rewrite(store *plat.Store) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, spec := range e.specs {
		if spec == nil {
			store.Remove("servers", id)
			continue
		}
		store.Put("servers", id, spec)
	}
	e.incomplete, e.rewritten = false, time.Now()
}

// heartbeat writes each entry several times with another remaining warm-up, so that the history of the endpoint list goes on for long.
func (e *soakEntries) heartbeat(store *plat.Store, times int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for n := range times {
		for id, spec := range e.specs {
			if spec != nil {
				beat := maps.Clone(spec)
				beat["cold_left_ms"] = times - n - 1 // 0 at last, as written before
				store.Put("servers", id, beat)
			}
		}
	}
}

// awaitDrained waits until the store has had all entries for soakDrainTime.
func (e *soakEntries) awaitDrained() {
	for {
		e.mu.Lock()
		drained := !e.incomplete && time.Since(e.rewritten) > soakDrainTime
		e.mu.Unlock()
		if drained {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// restoreStore lets the store be away for a moment and come back from a copy, again and again until ctx ends.
func (s *soakRun) restoreStore(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.seed, 1))
	random := func(most time.Duration) time.Duration { return time.Duration(r.Int64N(int64(most))) }
	for ctx.Err() == nil {
		time.Sleep(random(time.Second))
		c := s.store.Copy()
		time.Sleep(random(2 * time.Second))
		s.entries.heartbeat(s.store, soakHeartbeats)
		time.Sleep(random(300 * time.Millisecond))
		s.store.SetFault([]plat.StoreFault{plat.FaultReset, plat.FaultUnavailable, plat.FaultNoAnswer}[r.IntN(3)])
		time.Sleep(random(700 * time.Millisecond))
		s.entries.restore(s.store, c)
		s.t.Logf("the store is back, in era %d", s.store.Era())
		time.Sleep(random(soakRewriteTime))
		s.entries.rewrite(s.store)
		s.rewriteConfig()
	}
}

// checkFollowsStore checks that all instances use an engine that registers when the store has come back once more, after the others of its
// service have left.
func (s *soakRun) checkFollowsStore() {
	c := s.store.Copy()
	s.entries.heartbeat(s.store, soakHeartbeats)
	time.Sleep(soakFollowTime)
	s.entries.restore(s.store, c)
	s.mu.Lock()
	others := s.appEngines()
	s.addEngine("app")
	s.mu.Unlock()
	s.entries.rewrite(s.store)
	time.Sleep(soakFollowTime)
	for _, e := range others {
		s.entries.remove(s.store, e.ID)
	}
	time.Sleep(soakFollowTime)
	for _, e := range others {
		s.stopEngine(e)
	}
	s.checkServes()
}

// appEngines returns the engines of the service app; s.mu is held.
func (s *soakRun) appEngines() (out []*plat.Engine) {
	for id, e := range s.engines {
		if strings.HasPrefix(id, "app-") {
			out = append(out, e)
		}
	}
	return out
}

// checkServes checks that each instance answers a call.
func (s *soakRun) checkServes() {
	client := &http.Client{Timeout: 6 * time.Second}
	defer client.CloseIdleConnections()
	before := len(s.calls)
	for _, inst := range s.instances {
		s.send(client, inst, "/look/last-"+inst.name, "last-"+inst.name)
	}
	for _, call := range s.calls[before:] {
		if call.status != http.StatusOK {
			s.t.Errorf("%s: status %d after the store came back; its lines:\n%s", call.attempt, call.status, s.logOf(call.attempt))
		}
	}
}
