package claim

import (
	"time"

	"snipeshed/core"
)

type phase int

const (
	// phaseClaiming tries to write the claim.
	phaseClaiming phase = iota
	// phaseSending holds the claim and sends.
	phaseSending
	// phaseRecording writes the result.
	phaseRecording
	// phaseClosing writes not_run, because nothing was and nothing will be sent.
	phaseClosing
	phaseDone
)

// closeGrace is how long a client whose deadline has passed still waits for not_run to be recorded; without the
// record it can only be told that the outcome is unknown.
const closeGrace = time.Second

// Attempt describes one client call.
type Attempt struct {
	// Nonce must be new for every call.
	Nonce       string
	Fingerprint string
	Holder      core.InstanceID
	RequestID   core.RequestID
	Now         time.Time
	Deadline    time.Time
}

// Claim is the state machine of one client call with an idempotency key; it is not safe for concurrent use.
type Claim struct {
	mine     Record
	deadline time.Time
	phase    phase
	// base is the version on which the next write is conditional.
	base core.Version
	// doubt is set while an earlier write of the claim may still take effect.
	doubt bool
	// seen is set once the store has shown that another call recorded something under the key.
	seen bool
	// pending is told once its record is written.
	pending  *Reply
	tellBy   time.Time
	told     bool
	failures int
}

// New returns the state machine of one call.
func New(a Attempt) *Claim {
	return &Claim{
		deadline: a.Deadline,
		mine: Record{
			Nonce: a.Nonce, Attempt: 1, State: StateClaimed, Fingerprint: a.Fingerprint, Holder: a.Holder,
			RequestID: a.RequestID,
			ClaimedAt: a.Now.UnixMilli(), Deadline: a.Deadline.UnixMilli(),
		},
	}
}

// Start returns the first step: it writes the claim without a read, since most keys are new.
func (c *Claim) Start() Step { return c.put(StateClaimed) }

// Next takes the outcome of the last step and returns the next one.
func (c *Claim) Next(now time.Time, e Event) Step {
	failed := e.Kind == EventAmbiguous || e.Kind == EventFailed || e.Kind == EventReadFailed
	switch {
	case failed:
		c.failures++
	case e.Kind == EventAccepted:
		c.failures = 0
	}
	var s Step
	switch c.phase {
	case phaseClaiming:
		s = c.claiming(now, e)
	case phaseSending:
		s = c.sending(now, e)
	case phaseRecording:
		s = c.recording(e)
	case phaseClosing:
		s = c.closing(now, e)
	case phaseDone:
		s = c.done(nil)
	}
	if failed {
		s.Failures = c.failures
	}
	if c.told {
		s.Tell = nil
	}
	c.told = c.told || s.Tell != nil
	return s
}

func (c *Claim) claiming(now time.Time, e Event) Step {
	switch e.Kind {
	case EventAccepted:
		return c.send(now, e.Version)
	case EventRead:
		c.mine.extra = e.Record.extra
		if e.Record.Nonce == c.mine.Nonce {
			return c.send(now, e.Version)
		}
		c.seen = true
		// A changed version fails the condition of every earlier write, so none of them can take effect any more.
		if e.Version != c.base {
			c.doubt = false
		}
		if r := c.existing(now, e.Record); r != nil {
			return c.done(r)
		}
		c.base, c.mine.Attempt = e.Version, e.Record.Attempt+1
	case EventMissing:
		if c.base != 0 {
			c.doubt, c.base, c.mine.Attempt, c.mine.extra = false, 0, 1, nil
		}
	case EventConflicted:
		c.seen = true
	case EventAmbiguous:
		c.doubt = true
	}
	switch {
	case !c.doubt && (e.Kind == EventFailed || e.Kind == EventReadFailed):
		return c.done(refuse(storeDown(c.run())))
	case !c.doubt && !now.Before(c.deadline):
		return c.done(refuse(deadline(c.run())))
	case !now.Before(c.deadline):
		c.phase = phaseClosing
		s := Step{Kind: StepRead}
		s.Tell = refuse(unresolved())
		return s
	case e.Kind == EventRead || e.Kind == EventMissing:
		return c.put(StateClaimed)
	}
	return Step{Kind: StepRead}
}

// run is what a call that claimed nothing can say: an earlier call with the key may have run the action.
func (c *Claim) run() core.Run {
	if c.seen {
		return core.RunUnknown
	}
	return core.RunNot
}

// existing returns the answer that another call's record calls for, or nil when the action may be claimed.
func (c *Claim) existing(now time.Time, r Record) *Reply {
	if r.Newer() {
		return refuse(newerRecord())
	}
	switch r.State {
	case StateClaimed, StateDone, StateNotRun:
	default:
		return refuse(malformed())
	}
	switch {
	case r.Fingerprint != c.mine.Fingerprint:
		return refuse(keyReused())
	case r.State == StateDone:
		return &Reply{Result: r.Result, Replayed: true}
	case r.State == StateClaimed && r.Expired(now):
		return refuse(lost("an earlier call with this idempotency key has no recorded outcome"))
	case r.State == StateClaimed:
		return refuse(inProgress(time.UnixMilli(r.Deadline).Sub(now)))
	}
	return nil
}

// send permits the one transmission of this attempt.
func (c *Claim) send(now time.Time, version core.Version) Step {
	c.base, c.doubt = version, false
	if !now.Before(c.deadline) {
		return c.close(now, deadline(core.RunNot))
	}
	c.phase = phaseSending
	return Step{Kind: StepSend, IfVersion: version}
}

func (c *Claim) sending(now time.Time, e Event) Step {
	switch e.Kind {
	case EventNotSent:
		switch {
		case !now.Before(c.deadline):
			return c.close(now, deadline(core.RunNot))
		case e.More:
			return Step{Kind: StepSend, IfVersion: c.base}
		}
		return c.close(now, noEndpoint())
	case EventAnswer:
		c.phase, c.mine.Result = phaseRecording, e.Result
		c.pending = &Reply{Result: e.Result}
		return c.put(StateDone)
	case EventDeadline:
		return Step{Kind: StepWait, Tell: refuse(lost("the endpoint did not answer before the deadline"))}
	}
	return c.done(refuse(lost("the endpoint's answer was lost")))
}

// recording tells the client after the first try, as a result is true whether or not it is recorded.
func (c *Claim) recording(e Event) Step {
	recorded := e.Kind == EventAccepted || e.Kind == EventMissing
	if e.Kind == EventRead {
		recorded = e.Record.Nonce != c.mine.Nonce || e.Record.State == StateDone
		c.base = e.Version
	}
	if recorded {
		return c.done(c.pending)
	}
	s := Step{Kind: StepRead}
	if e.Kind == EventRead {
		s = c.put(StateDone)
	}
	s.Tell = c.pending
	return s
}

func (c *Claim) close(now time.Time, err *core.Error) Step {
	c.phase, c.pending = phaseClosing, refuse(err)
	c.tellBy = c.deadline
	if limit := now.Add(closeGrace); limit.After(c.tellBy) {
		c.tellBy = limit
	}
	return c.put(StateNotRun)
}

// closing tells not_run only after it is recorded: a retry that finds the claim cannot tell it from a sent one.
func (c *Claim) closing(now time.Time, e Event) Step {
	recorded := e.Kind == EventAccepted
	switch e.Kind {
	case EventRead:
		own := e.Record.Nonce == c.mine.Nonce
		// Another call's record at a new version shows that not_run was recorded, or that the claim in doubt never can be.
		recorded = (own && e.Record.State != StateClaimed) || (!own && e.Version != c.base)
		c.base = e.Version
	case EventMissing:
		// A claim in doubt may still appear; recording not_run in its place prevents that.
		recorded = c.base != 0
	}
	if recorded {
		return c.done(c.pending)
	}
	s := Step{Kind: StepRead}
	if e.Kind == EventRead || e.Kind == EventMissing {
		s = c.put(StateNotRun)
	}
	if !now.Before(c.tellBy) {
		s.Tell = refuse(unresolved())
	}
	return s
}

func (c *Claim) put(state State) Step {
	c.mine.State = state
	return Step{Kind: StepPut, Record: c.mine, IfVersion: c.base}
}

func (c *Claim) done(tell *Reply) Step {
	c.phase = phaseDone
	return Step{Kind: StepDone, Tell: tell}
}
