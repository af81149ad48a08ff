package trial

import (
	"fmt"
	"time"

	"snipeshed/core"
	"snipeshed/stand/batch"
)

const (
	tickInterval = 20 * time.Millisecond
	// reportInterval is both the interval and the age of load reports.
	reportInterval = time.Second
	// drainLimit bounds a run in which a policy loses a call.
	drainLimit = 2 * time.Hour
)

// start is an arbitrary moment of virtual time.
var start = time.Unix(1_800_000_000, 0)

// sim drives one policy through one trace.
type sim struct {
	policy   core.Policy
	user     *User
	engines  []*batch.Batch
	ids      []core.EndpointID
	reports  []core.RunnerLoad // the latest, not yet seen by the policy
	priority map[core.RankName]int64
	live     map[core.RequestID]*stream
	left     int // calls without an outcome
	meter    *meter
}

// stream is what a client sees of one call.
type stream struct {
	arrival *Arrival
	at      time.Time
	last    time.Time
	engine  int
	started bool
}

// Outcome counts what became of a trace's calls.
type Outcome struct {
	Started, Refused, Done int
	Tokens                 core.Tokens
	Preemptions            int64
}

// Replay runs a trace through a policy until every call has ended.
func Replay(p core.Policy, u *User, f Fleet, trace []Arrival) (Outcome, error) {
	m, err := run(p, u, f, trace, nil)
	if err != nil {
		return Outcome{}, err
	}
	return m.outcome, nil
}

func run(p core.Policy, u *User, f Fleet, trace []Arrival, phases []phase) (*meter, error) {
	s := &sim{
		policy: p, user: u, priority: map[core.RankName]int64{}, live: map[core.RequestID]*stream{},
		left: len(trace), meter: newMeter(u, phases),
	}
	for _, r := range u.rules.Ranks {
		s.priority[r.Name] = r.Priority
	}
	for i := range f.Engines {
		s.engines = append(s.engines, batch.New(f.Config))
		s.ids = append(s.ids, core.EndpointID(fmt.Sprintf("e%d", i)))
	}
	s.reports = make([]core.RunnerLoad, f.Engines)
	if err := s.act(start, p.SetRules(start, u.rules)); err != nil {
		return nil, err
	}
	if err := s.report(start); err != nil {
		return nil, err
	}
	err := s.loop(trace)
	for _, b := range s.engines {
		l := b.Load()
		s.meter.outcome.Preemptions += l.Preemptions
		s.meter.recomputed += l.Recomputed
	}
	return s.meter, err
}

func (s *sim) loop(trace []Arrival) error {
	tick, report := start, start.Add(reportInterval)
	for s.left > 0 {
		now, engine := tick, -1
		if report.Before(now) {
			now = report
		}
		for i, b := range s.engines {
			if t, ok := b.Next(); ok && t.Before(now) {
				now, engine = t, i
			}
		}
		if len(trace) > 0 {
			if t := start.Add(time.Duration(trace[0].AfterMS) * time.Millisecond); !t.After(now) {
				a := &trace[0]
				trace = trace[1:]
				if err := s.offer(t, a); err != nil {
					return err
				}
				continue
			}
		}
		if now.Sub(start) > drainLimit {
			return fmt.Errorf("%d calls have no outcome after %s", s.left, drainLimit)
		}
		var err error
		switch {
		case engine >= 0:
			err = s.step(now, engine)
		case now.Equal(report):
			report = report.Add(reportInterval)
			err = s.report(now)
		default:
			tick = tick.Add(tickInterval)
			err = s.act(now, s.policy.Tick(now))
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *sim) offer(now time.Time, a *Arrival) error {
	c := a.Call
	c.Deadline = now.Add(s.user.timeout[c.Rank])
	s.live[c.ID] = &stream{arrival: a, at: now}
	s.meter.offered(now, a)
	return s.act(now, s.policy.Offer(now, c))
}

// report hands the reports of one interval ago to the policy and takes new ones.
func (s *sim) report(now time.Time) error {
	infos := make([]core.RunnerInfo, len(s.engines))
	for i, b := range s.engines {
		infos[i] = core.RunnerInfo{ID: s.ids[i], KVCapacity: b.Config().KVCapacity, Accepting: true, Load: s.reports[i]}
		l := b.Load()
		s.reports[i] = core.RunnerLoad{KVUsed: l.KVUsed, KVCapacity: l.KVCapacity, Running: l.Running, Waiting: l.Waiting, Preemptions: l.Preemptions}
	}
	return s.act(now, s.policy.SetRunners(now, infos))
}

func (s *sim) step(now time.Time, engine int) error {
	for _, e := range s.engines[engine].Step(now) {
		id := core.RequestID(e.ID)
		switch e.Kind {
		case batch.Started:
			s.policy.Cached(e.At, id, e.Cached)
		case batch.Token:
			s.token(e.At, s.live[id], e.Index)
			s.policy.Token(e.At, id, e.Index+1)
		case batch.Preempted:
			s.policy.Preempted(e.At, id)
		case batch.Done:
			s.meter.outcome.Done++
			s.end(id)
			if err := s.act(now, s.policy.Finish(now, id, true)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *sim) token(at time.Time, st *stream, index core.Tokens) {
	if index == 0 {
		s.meter.first(st, at)
	} else {
		s.meter.gap(st, at, at.Sub(st.last))
	}
	st.last = at
}

func (s *sim) end(id core.RequestID) {
	s.meter.ended(s.live[id])
	delete(s.live, id)
	s.left--
}

// act carries out a policy's actions and fails on those that a policy must never return.
func (s *sim) act(now time.Time, acts []core.Action) error {
	for _, a := range acts {
		st := s.live[a.ID]
		if st == nil || st.started {
			return fmt.Errorf("policy decides twice on call %q", a.ID)
		}
		if a.Kind == core.ActionRefuse {
			if a.Err.Run != core.RunNot {
				return fmt.Errorf("refusal of call %q says %q instead of not_run", a.ID, a.Err.Run)
			}
			s.meter.refused(st, now)
			delete(s.live, a.ID)
			s.left--
			continue
		}
		st.started = true
		st.engine = s.index(a.Endpoint)
		if st.engine < 0 {
			return fmt.Errorf("call %q started at unknown endpoint %q", a.ID, a.Endpoint)
		}
		c := &st.arrival.Call
		s.meter.outcome.Started++
		err := s.engines[st.engine].Add(now, batch.Request{
			ID: core.GenerationID(c.ID), PromptTokens: c.PromptTokens, Prefixes: c.Prefixes,
			OutputTokens: st.arrival.Output, MaxTokens: c.MaxTokens, Priority: s.priority[c.Rank],
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *sim) index(id core.EndpointID) int {
	for i, o := range s.ids {
		if o == id {
			return i
		}
	}
	return -1
}
