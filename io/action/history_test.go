package action

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"snipeshed/core"
)

// operation is one client call, or, if run is set, one run at the endpoint.
type operation struct {
	key, id string
	run     bool
}

// keyState is the history of one key: the request that was run, and the requests that were answered with not_run.
type keyState struct {
	ran    string
	notRun string // request ids, each preceded by a space
}

// actionModel is the sequential model of one key: the action runs at most once, a request that was answered with not_run is
// never run, before or after that answer, and results come only from the request that was run. Unknown outcomes are left
// out of the histories, because they are consistent with any state.
var actionModel = porcupine.Model{
	Init: func() interface{} { return keyState{} },
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		keys := map[string][]porcupine.Operation{}
		for _, o := range history {
			k := o.Input.(operation).key
			keys[k] = append(keys[k], o)
		}
		var parts [][]porcupine.Operation
		for _, p := range keys {
			parts = append(parts, p)
		}
		return parts
	},
	Step: func(state, in, out interface{}) (bool, interface{}) {
		s, i, o := state.(keyState), in.(operation), out.(string)
		switch {
		case i.run:
			ok := s.ran == "" && !strings.Contains(s.notRun, " "+i.id)
			s.ran = i.id
			return ok, s
		case strings.HasSuffix(o, "/not_run"):
			ok := s.ran != i.id
			s.notRun += " " + i.id
			return ok, s
		case strings.HasSuffix(o, " replayed"):
			return s.ran != "" && o == s.ran+" replayed", s
		}
		return s.ran == i.id && o == i.id, s
	},
	Equal: func(a, b interface{}) bool { return a == b },
}

type history struct {
	mu       sync.Mutex
	now      int64 // logical time: counts events, because events at the same virtual time need an order
	ops      []porcupine.Operation
	outcomes map[string]int
}

func (h *history) nextTime() int64 { h.mu.Lock(); defer h.mu.Unlock(); h.now++; return h.now }

func (h *history) add(client int, in operation, out string, call int64) {
	ret := h.nextTime()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !strings.HasSuffix(out, "/unknown") {
		h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call, Return: ret})
	}
	switch {
	case strings.Contains(out, "/"):
		h.outcomes[out]++
	case strings.HasSuffix(out, " replayed"):
		h.outcomes["replayed"]++
	case !in.run:
		h.outcomes["ran"]++
	}
}

func randomFaults(seed uint64, percent int, maxWait time.Duration, effects ...effect) func() fault {
	r := rand.New(rand.NewPCG(seed, uint64(percent)))
	return func() fault {
		if r.IntN(100) >= percent {
			return fault{}
		}
		return fault{effect: effects[r.IntN(len(effects))], wait: time.Duration(r.Int64N(int64(maxWait)))}
	}
}

const (
	historySeeds   = 60
	historyClients = 6
	historyCalls   = 8
	historyKeys    = 6
)

// Guards against wrong replies in combinations of faults and races that the scenarios do not cover. With stops, two of the
// three instances shut down during an outage of the store and abandon records.
func TestHistories(t *testing.T) {
	for _, stops := range []bool{false, true} {
		total := map[string]int{}
		for seed := range uint64(historySeeds) {
			t.Run(fmt.Sprintf("seed %d stops %t", seed, stops), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runHistory(t, seed, stops, total) })
			})
		}
		t.Logf("stops=%t answers=%v", stops, total)
	}
}

func runHistory(t *testing.T, seed uint64, stops bool, total map[string]int) {
	is := is.NewRelaxed(t)
	cl := newCluster(3, "10.0.0.1:1", "10.0.0.2:1")
	h := &history{outcomes: total}
	var stopped sync.WaitGroup
	for i := 1; stops && i < len(cl.instances); i++ {
		a := cl.instances[i]
		a.cfg.ActionStopMs = new(int64(0))
		stopped.Go(func() {
			time.Sleep(time.Duration(7+2*i) * time.Second)
			if a.Close(context.Background()) != nil {
				h.mu.Lock()
				defer h.mu.Unlock()
				total["stops with abandoned records"]++
			}
		})
	}
	cl.store.rule = randomFaults(seed, 30, 6*time.Second, answerLost, requestLost, delayedEffect, refused, slow, callerPaused)
	cl.endpoint.rule = randomFaults(seed, 50, 12*time.Second, refused, refused, refused, requestLost, answerLost, delayedEffect, slow)
	cl.store.outage = outage{from: time.Now().Add(8 * time.Second), until: time.Now().Add(14 * time.Second), effect: refused}
	cl.endpoint.onRun = func(key, id string) { h.add(historyClients, operation{key: key, id: id, run: true}, "", h.nextTime()) }
	call := func(client, n int, instance int, key string) string {
		in := operation{key: key, id: fmt.Sprintf("c%dn%d.", client, n)}
		r := httptest.NewRequest("POST", "/services/swaps/confirm", strings.NewReader("b"))
		r.Header.Set(headerIdempotencyKey, key)
		r.Header.Set(headerTimeout, "4000")
		rec := httptest.NewRecorder()
		start := h.nextTime()
		cl.instances[instance].Serve(rec, r, core.RequestID(in.id), core.Credential{Team: "tallinn"}, "swaps", "/confirm")
		out := outcome(rec)
		h.add(client, in, out, start)
		return out
	}
	var wg sync.WaitGroup
	for client := range historyClients {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(1000+client)))
			for n := range historyCalls {
				call(client, n, r.IntN(3), fmt.Sprintf("k%d", r.IntN(historyKeys)))
				time.Sleep(time.Duration(r.Int64N(int64(3 * time.Second))))
			}
		})
	}
	wg.Wait()
	stopped.Wait()
	cl.store.mu.Lock()
	cl.store.rule = nil
	cl.store.mu.Unlock()
	cl.endpoint.mu.Lock()
	cl.endpoint.rule = nil
	cl.endpoint.mu.Unlock()
	time.Sleep(2 * time.Minute) // every background record is written by then
	for k := range historyKeys {
		key := fmt.Sprintf("k%d", k)
		arrived := cl.endpoint.sends[key]
		out := call(historyClients+1, k, 0, key)
		// An action that never reached the endpoint must run now, whatever was lost before, unless its record was abandoned.
		if arrived == 0 && !stops {
			is.Equal(out, fmt.Sprintf("c%dn%d.", historyClients+1, k))
		}
		is.True(cl.endpoint.sends[key] <= 1)
	}
	is.True(cl.close(time.Minute) == nil || stops)
	is.Equal(porcupine.CheckOperationsTimeout(actionModel, h.ops, 10*time.Second), porcupine.Ok)
}

// Guards against more than two writes per action, which would exceed the share of the object API's limit that actions may
// use.
func TestWritesPerAction(t *testing.T) {
	is := is.New(t)
	cl := newCluster(2, "10.0.0.1:1")
	const n = 200
	for i := range n {
		is.Equal(cl.call(i%2, "POST", "/confirm", fmt.Sprintf("k%d", i), "b", time.Minute), ran)
	}
	is.Equal(cl.store.putCount(), 2*n)
	is.Equal(cl.store.getCount(), 0)
	is.Equal(cl.call(0, "POST", "/confirm", "k0", "b", time.Minute), replayed)
	is.Equal(cl.store.putCount(), 2*n+1)
	is.Equal(cl.store.getCount(), 1)
	is.NoErr(cl.close(time.Minute))
}
