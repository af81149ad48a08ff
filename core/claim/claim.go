package claim

import (
	"time"

	"snipeshed/core"
)

type phase int

const (
	// phaseClaiming writes the claim to the store.
	phaseClaiming phase = iota
	// phaseSending sends the request to an endpoint; the claim is written.
	phaseSending
	// phaseRecordingResult writes the endpoint's result to the store.
	phaseRecordingResult
	// phaseRecordingNotRun writes the state not_run, because no request was sent and none will be.
	phaseRecordingNotRun
	phaseDone
)

// notRunGrace is the minimum time that the client waits for the record of not_run, even past its deadline; without the
// record, the reply can only be that the outcome is unknown.
const notRunGrace = time.Second

// Attempt describes one client call.
type Attempt struct {
	// Nonce must be unique for every call.
	Nonce       string
	Fingerprint string
	Holder      core.InstanceID
	RequestID   core.RequestID
	Now         time.Time
	Deadline    time.Time
}

// Claim is the state machine of one client call with an idempotency key; it is not safe for concurrent use.
type Claim struct {
	ownRecord Record
	deadline  time.Time
	phase     phase
	// expectedVersion is the object version that the next write requires.
	expectedVersion core.Version
	// writeUncertain reports whether an earlier write of the claim may still take effect.
	writeUncertain bool
	// otherCallSeen reports whether the store has shown that another call used the key.
	otherCallSeen bool
	// pendingReply is sent to the client once the record is written.
	pendingReply  *Reply
	replyDeadline time.Time
	replied       bool
	storeFailures int
}

// New returns the state machine for the client call a.
func New(a Attempt) *Claim {
	return &Claim{
		deadline: a.Deadline,
		ownRecord: Record{
			Nonce: a.Nonce, Attempt: 1, State: StateClaimed, Fingerprint: a.Fingerprint, Holder: a.Holder,
			RequestID: a.RequestID,
			ClaimedAt: a.Now.UnixMilli(), Deadline: a.Deadline.UnixMilli(),
		},
	}
}

// Start returns the first step: it writes the claim without reading the record first, since most keys are new.
func (c *Claim) Start() Step { return c.putStep(StateClaimed) }

// Next takes the outcome of the last step and returns the next one.
func (c *Claim) Next(now time.Time, e Event) Step {
	failed := e.Kind == EventWriteUncertain || e.Kind == EventWriteFailed || e.Kind == EventReadFailed
	switch {
	case failed:
		c.storeFailures++
	case e.Kind == EventWritten:
		c.storeFailures = 0
	}
	var s Step
	switch c.phase {
	case phaseClaiming:
		s = c.nextClaiming(now, e)
	case phaseSending:
		s = c.nextSending(now, e)
	case phaseRecordingResult:
		s = c.nextRecordingResult(e)
	case phaseRecordingNotRun:
		s = c.nextRecordingNotRun(now, e)
	case phaseDone:
		s = c.finish(nil)
	}
	if failed {
		s.Failures = c.storeFailures
	}
	if c.replied {
		s.Reply = nil
	}
	c.replied = c.replied || s.Reply != nil
	return s
}

func (c *Claim) nextClaiming(now time.Time, e Event) Step {
	switch e.Kind {
	case EventWritten:
		return c.startSending(now, e.Version)
	case EventRead:
		c.ownRecord.extra = e.Record.extra
		if e.Record.Nonce == c.ownRecord.Nonce {
			return c.startSending(now, e.Version)
		}
		c.otherCallSeen = true
		// The version has changed since the earlier writes, so their conditions fail and none of them can still take effect.
		if e.Version != c.expectedVersion {
			c.writeUncertain = false
		}
		if r := c.replyToExisting(now, e.Record); r != nil {
			return c.finish(r)
		}
		c.expectedVersion, c.ownRecord.Attempt = e.Version, e.Record.Attempt+1
	case EventNotFound:
		if c.expectedVersion != 0 {
			c.writeUncertain, c.expectedVersion, c.ownRecord.Attempt, c.ownRecord.extra = false, 0, 1, nil
		}
	case EventWriteConflict:
		c.otherCallSeen = true
	case EventWriteUncertain:
		c.writeUncertain = true
	}
	switch {
	case !c.writeUncertain && (e.Kind == EventWriteFailed || e.Kind == EventReadFailed):
		return c.finish(errorReply(storeDownError(c.executionWithoutClaim())))
	case !c.writeUncertain && !now.Before(c.deadline):
		return c.finish(errorReply(deadlineError(c.executionWithoutClaim())))
	case !now.Before(c.deadline):
		c.phase = phaseRecordingNotRun
		s := Step{Kind: StepRead}
		s.Reply = errorReply(recordUnconfirmedError())
		return s
	case e.Kind == EventRead || e.Kind == EventNotFound:
		return c.putStep(StateClaimed)
	}
	return Step{Kind: StepRead}
}

// executionWithoutClaim returns the execution state to report when no claim was written: unknown if another call used the key,
// since that call may have run the action.
func (c *Claim) executionWithoutClaim() core.Execution {
	if c.otherCallSeen {
		return core.ExecutionUnknown
	}
	return core.NotExecuted
}

// replyToExisting returns the reply that follows from another call's record, or nil when the action may be claimed.
func (c *Claim) replyToExisting(now time.Time, r Record) *Reply {
	if r.NeedsNewerVersion() {
		return errorReply(newerRecordError())
	}
	switch r.State {
	case StateClaimed, StateDone, StateNotRun:
	default:
		return errorReply(malformedRecordError())
	}
	switch {
	case r.Fingerprint != c.ownRecord.Fingerprint:
		return errorReply(keyReusedError())
	case r.State == StateDone:
		return &Reply{Result: r.Result, Replayed: true}
	case r.State == StateClaimed && r.Expired(now):
		return errorReply(outcomeUnknownError("an earlier call with this idempotency key has no recorded outcome"))
	case r.State == StateClaimed:
		return errorReply(inProgressError(time.UnixMilli(r.Deadline).Sub(now)))
	}
	return nil
}

// startSending returns the step that sends the request. A request is sent again only after EventNotSent.
func (c *Claim) startSending(now time.Time, version core.Version) Step {
	c.expectedVersion, c.writeUncertain = version, false
	if !now.Before(c.deadline) {
		return c.close(now, deadlineError(core.NotExecuted))
	}
	c.phase = phaseSending
	return Step{Kind: StepSend, IfVersion: version}
}

func (c *Claim) nextSending(now time.Time, e Event) Step {
	switch e.Kind {
	case EventNotSent:
		switch {
		case !now.Before(c.deadline):
			return c.close(now, deadlineError(core.NotExecuted))
		case e.MoreEndpoints:
			return Step{Kind: StepSend, IfVersion: c.expectedVersion}
		}
		return c.close(now, noEndpointError())
	case EventAnswer:
		c.phase, c.ownRecord.Result = phaseRecordingResult, e.Result
		c.pendingReply = &Reply{Result: e.Result}
		return c.putStep(StateDone)
	case EventDeadline:
		return Step{Kind: StepWait, Reply: errorReply(outcomeUnknownError("the endpoint did not answer before the deadline"))}
	}
	return c.finish(errorReply(outcomeUnknownError("the endpoint's answer was lost")))
}

// nextRecordingResult replies to the client after the first write, even a failed one: the result is valid whether or not
// it is recorded.
func (c *Claim) nextRecordingResult(e Event) Step {
	recorded := e.Kind == EventWritten || e.Kind == EventNotFound
	if e.Kind == EventRead {
		recorded = e.Record.Nonce != c.ownRecord.Nonce || e.Record.State == StateDone
		c.expectedVersion = e.Version
	}
	if recorded {
		return c.finish(c.pendingReply)
	}
	s := Step{Kind: StepRead}
	if e.Kind == EventRead {
		s = c.putStep(StateDone)
	}
	s.Reply = c.pendingReply
	return s
}

// close ends a call whose request was not sent: it returns the step that records not_run, and err becomes the pending reply.
func (c *Claim) close(now time.Time, err *core.Error) Step {
	c.phase, c.pendingReply = phaseRecordingNotRun, errorReply(err)
	c.replyDeadline = c.deadline
	if limit := now.Add(notRunGrace); limit.After(c.replyDeadline) {
		c.replyDeadline = limit
	}
	return c.putStep(StateNotRun)
}

// nextRecordingNotRun reports not_run to the client only after it is recorded: a retry that finds the claim cannot tell
// whether its request was sent.
func (c *Claim) nextRecordingNotRun(now time.Time, e Event) Step {
	recorded := e.Kind == EventWritten
	switch e.Kind {
	case EventRead:
		own := e.Record.Nonce == c.ownRecord.Nonce
		// Another call's record at a new version shows that not_run was recorded, or that the uncertain claim can no longer
		// take effect.
		recorded = (own && e.Record.State != StateClaimed) || (!own && e.Version != c.expectedVersion)
		c.expectedVersion = e.Version
	case EventNotFound:
		// An uncertain claim may still take effect; recording not_run in its place prevents that.
		recorded = c.expectedVersion != 0
	}
	if recorded {
		return c.finish(c.pendingReply)
	}
	s := Step{Kind: StepRead}
	if e.Kind == EventRead || e.Kind == EventNotFound {
		s = c.putStep(StateNotRun)
	}
	if !now.Before(c.replyDeadline) {
		s.Reply = errorReply(recordUnconfirmedError())
	}
	return s
}

func (c *Claim) putStep(state State) Step {
	c.ownRecord.State = state
	return Step{Kind: StepPut, Record: c.ownRecord, IfVersion: c.expectedVersion}
}

func (c *Claim) finish(reply *Reply) Step {
	c.phase = phaseDone
	return Step{Kind: StepDone, Reply: reply}
}
