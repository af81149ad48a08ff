package trial

import (
	"fmt"
	"time"

	"snipeshed/core"
	"snipeshed/stand/batch"
)

const (
	tickInterval = 20 * time.Millisecond
	// reportInterval is the interval between load reports, and their age when the policy sees them.
	reportInterval = time.Second
	// maxRunDuration ends a run, in virtual time, whose policy never decides on a call.
	maxRunDuration = 2 * time.Hour
)

// startTime is the arbitrary start of virtual time.
var startTime = time.Unix(1_800_000_000, 0)

// sim is a discrete-event simulation of one policy that serves one trace.
type sim struct {
	policy      core.Policy
	workload    *Workload
	engines     []*batch.Engine
	endpointIDs []core.EndpointID
	reports     []core.RunnerLoad // taken at the last interval; the policy sees them at the next
	priority    map[core.RankName]int64
	streams     map[core.RequestID]*stream
	unfinished  int // calls that are neither refused nor done
	meter       *meter
}

// stream is the state of one call as its client sees it.
type stream struct {
	arrival     *Arrival
	arrivedAt   time.Time
	lastTokenAt time.Time
	engine      int
	started     bool
}

// Outcome counts the results of a trace's calls.
type Outcome struct {
	Started, Refused, Done int
	Tokens                 core.Tokens
	Preemptions            int64
}

// Replay runs a trace through a policy until every call is refused or done.
func Replay(p core.Policy, w *Workload, f Fleet, trace []Arrival) (Outcome, error) {
	m, err := simulate(p, w, f, trace, nil)
	if err != nil {
		return Outcome{}, err
	}
	return m.outcome, nil
}

func simulate(p core.Policy, w *Workload, f Fleet, trace []Arrival, phases []phase) (*meter, error) {
	s := &sim{
		policy: p, workload: w, priority: map[core.RankName]int64{}, streams: map[core.RequestID]*stream{},
		unfinished: len(trace), meter: newMeter(w, phases),
	}
	for _, r := range w.rules.Ranks {
		s.priority[r.Name] = r.Priority
	}
	for i := range f.Engines {
		s.engines = append(s.engines, batch.New(f.Config))
		s.endpointIDs = append(s.endpointIDs, core.EndpointID(fmt.Sprintf("e%d", i)))
	}
	s.reports = make([]core.RunnerLoad, f.Engines)
	if err := s.applyActions(startTime, p.SetRules(startTime, w.rules)); err != nil {
		return nil, err
	}
	if err := s.exchangeReports(startTime); err != nil {
		return nil, err
	}
	err := s.runTrace(trace)
	for _, e := range s.engines {
		l := e.Load()
		s.meter.outcome.Preemptions += l.Preemptions
		s.meter.recomputed += l.Recomputed
	}
	return s.meter, err
}

func (s *sim) runTrace(trace []Arrival) error {
	nextTick, nextReport := startTime, startTime.Add(reportInterval)
	for s.unfinished > 0 {
		now, engine := nextTick, -1
		if nextReport.Before(now) {
			now = nextReport
		}
		for i, e := range s.engines {
			if t, ok := e.Next(); ok && t.Before(now) {
				now, engine = t, i
			}
		}
		if len(trace) > 0 {
			if t := startTime.Add(time.Duration(trace[0].AfterMS) * time.Millisecond); !t.After(now) {
				a := &trace[0]
				trace = trace[1:]
				if err := s.offerCall(t, a); err != nil {
					return err
				}
				continue
			}
		}
		if now.Sub(startTime) > maxRunDuration {
			return fmt.Errorf("%d calls are neither refused nor done after %s of virtual time", s.unfinished, maxRunDuration)
		}
		var err error
		switch {
		case engine >= 0:
			err = s.stepEngine(now, engine)
		case now.Equal(nextReport):
			nextReport = nextReport.Add(reportInterval)
			err = s.exchangeReports(now)
		default:
			nextTick = nextTick.Add(tickInterval)
			err = s.applyActions(now, s.policy.Tick(now))
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *sim) offerCall(now time.Time, a *Arrival) error {
	c := a.Call
	c.Deadline = now.Add(s.workload.timeout[c.Rank])
	s.streams[c.ID] = &stream{arrival: a, arrivedAt: now}
	s.meter.recordOffer(now, a)
	return s.applyActions(now, s.policy.Offer(now, c))
}

// exchangeReports passes the load reports of the previous interval to the policy and takes new ones.
func (s *sim) exchangeReports(now time.Time) error {
	infos := make([]core.RunnerInfo, len(s.engines))
	for i, e := range s.engines {
		infos[i] = core.RunnerInfo{ID: s.endpointIDs[i], KVCapacity: e.Config().KVCapacity, Accepting: true, Load: s.reports[i]}
		l := e.Load()
		s.reports[i] = core.RunnerLoad{KVUsed: l.KVUsed, KVCapacity: l.KVCapacity, Running: l.Running, Waiting: l.Waiting, Preemptions: l.Preemptions}
	}
	return s.applyActions(now, s.policy.SetRunners(now, infos))
}

func (s *sim) stepEngine(now time.Time, engine int) error {
	for _, e := range s.engines[engine].Step(now) {
		id := core.RequestID(e.ID)
		switch e.Kind {
		case batch.Started:
			s.policy.RecordCached(e.At, id, e.Cached)
		case batch.Token:
			s.recordToken(e.At, s.streams[id], e.Index)
			s.policy.RecordTokens(e.At, id, e.Index+1)
		case batch.Preempted:
			s.policy.RecordPreemption(e.At, id)
		case batch.Done:
			s.meter.outcome.Done++
			s.endStream(id)
			if err := s.applyActions(now, s.policy.Finish(now, id, true)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *sim) recordToken(at time.Time, st *stream, index core.Tokens) {
	if index == 0 {
		s.meter.recordFirstToken(st, at)
	} else {
		s.meter.recordGap(st, at, at.Sub(st.lastTokenAt))
	}
	st.lastTokenAt = at
}

func (s *sim) endStream(id core.RequestID) {
	s.meter.recordEnd(s.streams[id])
	delete(s.streams, id)
	s.unfinished--
}

// applyActions executes a policy's actions. It fails on an action that no policy may return, such as a second decision on
// a call.
func (s *sim) applyActions(now time.Time, acts []core.Action) error {
	for _, a := range acts {
		st := s.streams[a.ID]
		if st == nil || st.started {
			return fmt.Errorf("policy decided on call %q, which is unknown or was decided on before", a.ID)
		}
		if a.Kind == core.ActionRefuse {
			if a.Err.Execution != core.NotExecuted {
				return fmt.Errorf("refusal of call %q says %q instead of not_run", a.ID, a.Err.Execution)
			}
			s.meter.recordRefusal(st, now)
			delete(s.streams, a.ID)
			s.unfinished--
			continue
		}
		st.started = true
		st.engine = s.engineIndex(a.Endpoint)
		if st.engine < 0 {
			return fmt.Errorf("policy started call %q at unknown endpoint %q", a.ID, a.Endpoint)
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

func (s *sim) engineIndex(id core.EndpointID) int {
	for i, o := range s.endpointIDs {
		if o == id {
			return i
		}
	}
	return -1
}
