package place_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"snipeshed/core"
	"snipeshed/core/fleet"
	"snipeshed/core/place"
	"snipeshed/core/tally"
	"snipeshed/stand/revs"
)

// surge is a load pattern: many calls a second at one instance, and endpoints that take few calls at a time, turn the others
// away and ask for a pause. Some endpoints are unreachable for a while, others start anew. Time is simulated.
type surge struct {
	rng      *rand.Rand
	now      time.Time
	events   eventQueue
	fleet    *fleet.Endpoints
	loads    *tally.LoadTable
	sel      *place.Selector
	service  core.Service
	engines  map[core.EndpointID]*surgeEngine
	revision core.Version

	refusals, served, unplaced int
	violations                 []string
}

// surgeEngine is an endpoint with the pauses that it asked for in its present life.
type surgeEngine struct {
	core.Endpoint
	capacity, running int
	pauses            []*pause
}

// pause is the time between half a second after a refusal and the end of its Retry-After, and the requests that arrived in it.
type pause struct {
	from, to time.Time
	arrivals int
}

const (
	surgeEngines   = 6
	surgeLength    = 30 * time.Second
	pauseTolerance = 500 * time.Millisecond // requests in flight may still arrive after the refusal
	maxArrivals    = 2                      // in one pause
)

func newSurge(seed uint64, engine *core.EngineLimits) *surge {
	rng := rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // a seeded test
	loads := tally.New()
	s := &surge{
		rng: rng, now: now, fleet: fleet.New(func(core.EndpointID) {}), loads: loads, service: core.Service{Name: "s", Engine: engine},
		sel: place.New("d0", loads, place.WithRandom(rng.Float64)), engines: map[core.EndpointID]*surgeEngine{},
	}
	for i := range surgeEngines {
		e := &surgeEngine{capacity: 4 + rng.IntN(12)}
		e.Endpoint = core.Endpoint{ID: core.EndpointID(fmt.Sprint("e", i)), Service: "s", Slots: 8, Domain: "d0", Started: 1}
		s.engines[e.ID] = e
		s.fleet.Set(s.now, revs.At(s.nextRevision()), e.Endpoint)
	}
	return s
}

func (s *surge) nextRevision() core.Version {
	s.revision++
	return s.revision
}

func (s *surge) after(d time.Duration, f func()) { heap.Push(&s.events, timedEvent{s.now.Add(d), f}) }

func (s *surge) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

// run plays the pattern to its end.
func (s *surge) run() {
	s.after(0, s.arrive)
	s.after(0, s.disturb)
	end := s.now.Add(surgeLength)
	for s.events.Len() > 0 && s.now.Before(end) {
		next := heap.Pop(&s.events).(timedEvent)
		s.now = next.at
		next.f()
	}
	for _, e := range s.engines {
		s.checkPauses(e)
	}
}

// arrive places one call and schedules the next.
func (s *surge) arrive() {
	s.after(s.between(time.Millisecond, 9*time.Millisecond), s.arrive)
	d := place.Demand{Tokens: 100, PrefillTokens: 100}
	all := slices.Clone(s.fleet.OfService("s"))
	slices.SortFunc(all, func(a, b *fleet.Status) int { return strings.Compare(string(a.ID), string(b.ID)) }) // the same for each seed
	st := s.sel.ChooseEndpoint(s.now, s.service, all, d, nil)
	if st == nil {
		s.unplaced++
		return
	}
	sent := st.Endpoint
	s.loads.AddOwn(sent.ID, tally.Load{Calls: 1, Tokens: d.Tokens})
	s.after(s.between(time.Millisecond, 80*time.Millisecond), func() { s.receive(sent) })
}

// receive handles a call that reached its endpoint.
func (s *surge) receive(sent core.Endpoint) {
	e := s.engines[sent.ID]
	for _, p := range e.pauses {
		if s.now.After(p.from) && s.now.Before(p.to) {
			p.arrivals++
		}
	}
	if e.running < e.capacity {
		e.running++
		s.after(s.between(10*time.Millisecond, 800*time.Millisecond), func() {
			e.running--
			s.served++
			s.loads.AddOwn(sent.ID, tally.Load{Calls: -1, Tokens: -100})
		})
		return
	}
	s.refusals++
	retryAfter := s.between(50*time.Millisecond, 4*time.Second)
	s.after(s.between(time.Millisecond, 30*time.Millisecond), func() {
		if e.Started == sent.Started {
			e.pauses = append(e.pauses, &pause{from: s.now.Add(pauseTolerance), to: s.now.Add(retryAfter)})
		}
		s.loads.AddOwn(sent.ID, tally.Load{Calls: -1, Tokens: -100})
		s.fleet.MarkBackoff(s.now, sent.Incarnation(), retryAfter)
	})
}

// disturb makes an endpoint unreachable, starts one anew, or writes an entry again.
func (s *surge) disturb() {
	s.after(s.between(50*time.Millisecond, 600*time.Millisecond), s.disturb)
	e := s.engines[core.EndpointID(fmt.Sprint("e", s.rng.IntN(surgeEngines)))]
	switch s.rng.IntN(6) {
	case 0:
		s.checkPauses(e)
		e.Started++
		fallthrough
	case 1:
		s.fleet.Set(s.now, revs.At(s.nextRevision()), e.Endpoint)
	default:
		s.fleet.MarkUnreachable(s.now, e.ID)
	}
}

// checkPauses records the pauses of an endpoint's present life that were not respected, and forgets them.
func (s *surge) checkPauses(e *surgeEngine) {
	for _, p := range e.pauses {
		if p.arrivals > maxArrivals {
			s.violations = append(s.violations, fmt.Sprintf("%s: %d requests in a pause of %v", e.ID, p.arrivals, p.to.Sub(p.from)))
		}
	}
	e.pauses = nil
}

type timedEvent struct {
	at time.Time
	f  func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []timedEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(timedEvent)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// TestSurgeOfRefusals guards against more than two requests that reach an endpoint while it wants none (scenario: a surge in
// which most endpoints turn calls away).
func TestSurgeOfRefusals(t *testing.T) {
	for name, engine := range map[string]*core.EngineLimits{"plain": nil, "engines": service().Engine} {
		for seed := range uint64(10) {
			t.Run(fmt.Sprint(name, "/seed ", seed), func(t *testing.T) {
				s := newSurge(seed, engine)
				s.run()
				t.Logf("%d refused, %d served, %d not placed", s.refusals, s.served, s.unplaced)
				for _, v := range s.violations {
					t.Error(v)
				}
				if s.refusals < 20 || s.served < 100 {
					t.Error("the pattern has too few refusals or calls served to show anything")
				}
			})
		}
	}
}
