package action

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"snipeshed/core"
	"snipeshed/core/claim"
	"snipeshed/io/reply"
)

const (
	// lateAnswerWait is how long to wait for an answer after the deadline. A late answer is recorded for retries.
	lateAnswerWait = 5 * time.Second
	// recordTimeout limits how long to try to record an outcome during an outage of the store; after that, the record stays
	// in the state claimed.
	recordTimeout = time.Hour
	// minStoreTimeout is the minimum timeout of a store call, so that one that starts just before the deadline can still succeed.
	minStoreTimeout = 250 * time.Millisecond
	// firstPause is the first upper limit of the random pause between store calls, and between the attempts of a plain call.
	// It doubles with each failure; between store calls it is limited to maxClientPause while a client waits and to
	// maxBackgroundPause after that.
	firstPause         = 20 * time.Millisecond
	maxClientPause     = 250 * time.Millisecond
	maxBackgroundPause = 10 * time.Second
	maxPauseDoublings  = 9 // enough to reach maxBackgroundPause
)

// protectedCall is one client call of a protected action.
type protectedCall struct {
	*call
	objectKey string
	tried     map[core.EndpointID]bool
	// fullBody is the body of an answer that is too large to be recorded.
	fullBody []byte
	replies  chan *claim.Reply
	// clientDone reports whether the client has its reply or is gone.
	clientDone atomic.Bool
}

func (a *Action) serveProtected(w http.ResponseWriter, r *http.Request, c *call) {
	if err := a.checkClaimable(c); err != nil {
		reply.Error(w, c.id, err)
		return
	}
	now := a.Clock.Now()
	machine := claim.New(claim.Attempt{
		Nonce: core.NewRandomID(), Fingerprint: c.fingerprint(), Holder: a.instance, RequestID: c.id, Now: now,
		Deadline: c.deadline,
	})
	pc := &protectedCall{
		call: c, objectKey: objectKey(c.service, c.team, c.key), tried: map[core.EndpointID]bool{},
		replies: make(chan *claim.Reply, 1),
	}
	defer pc.clientDone.Store(true)
	// The attempt continues when the client disconnects, so that a retry or a lookup finds the outcome.
	if !a.startBackground(func() { a.runAttempt(pc, machine) }) {
		reply.Error(w, c.id, leavingError())
		return
	}
	select {
	case rep, ok := <-pc.replies:
		a.writeReply(w, pc, rep, ok)
	case <-r.Context().Done():
		// The client is usually gone. It still gets an error, because the context may have ended for another reason, and an
		// empty answer would look like a success.
		a.writeReply(w, pc, nil, false)
	}
}

// checkClaimable returns an error for a call that cannot succeed now, so that it does not write a claim needlessly.
func (a *Action) checkClaimable(c *call) error {
	if !a.store.Reachable() {
		return &core.Error{
			Kind: core.KindStoreDown, Message: "the object API is unreachable, so the action cannot be claimed",
			Remedy: "repeat the call with the same idempotency key", Execution: core.NotExecuted, RetryAfter: time.Second,
		}
	}
	if len(a.candidates(c.service, nil)) == 0 {
		return noEndpointError(c.service, core.NotExecuted, nil)
	}
	return nil
}

// runAttempt carries out the steps of one attempt.
func (a *Action) runAttempt(pc *protectedCall, machine *claim.Claim) {
	defer close(pc.replies)
	// The limit matters only during an outage of the store; other attempts end long before it.
	ctx, cancel := context.WithDeadline(a.ctx, pc.deadline.Add(recordTimeout))
	defer cancel()
	clientDeadline := pc.deadline
	// failingSince is the time of the first failed store call since the last transmission.
	var failingSince time.Time
	step := machine.Start()
	for {
		if step.Reply != nil {
			pc.replies <- step.Reply
			pc.clientDone.Store(true)
			clientDeadline = time.Time{}
		}
		if step.Kind == claim.StepDone {
			return
		}
		if step.Failures > 0 && failingSince.IsZero() {
			failingSince = a.Clock.Now()
		}
		if step.Failures > 0 && !a.pauseBeforeRetry(ctx, step.Failures, clientDeadline, a.recordTimeLeft(pc, failingSince)) {
			a.countAbandoned()
			a.Log.WithField("object", pc.objectKey).WithField("request_id", pc.id).Error("action_record_abandoned")
			return
		}
		switch step.Kind {
		case claim.StepRead:
			step = machine.Next(a.Clock.Now(), a.getRecord(ctx, pc))
		case claim.StepPut:
			e := a.putRecord(ctx, pc, step)
			step = machine.Next(a.Clock.Now(), e)
		default:
			failingSince = time.Time{}
			step = a.sendAndWait(ctx, pc, machine, step.IfVersion)
		}
	}
}

func (a *Action) putRecord(ctx context.Context, pc *protectedCall, s claim.Step) claim.Event {
	ctx, cancel := a.storeContext(ctx, pc)
	defer cancel()
	version, err := a.store.Put(ctx, pc.objectKey, s.Record.Marshal(), s.IfVersion)
	var failed *core.StoreError
	switch {
	case err == nil:
		return claim.Event{Kind: claim.EventWritten, Version: version}
	case errors.Is(err, core.ErrVersionMismatch):
		return claim.Event{Kind: claim.EventWriteConflict}
	case errors.As(err, &failed) && failed.Effect == core.EffectNone:
		return claim.Event{Kind: claim.EventWriteFailed}
	}
	return claim.Event{Kind: claim.EventWriteUncertain}
}

func (a *Action) getRecord(ctx context.Context, pc *protectedCall) claim.Event {
	ctx, cancel := a.storeContext(ctx, pc)
	defer cancel()
	o, err := a.store.Get(ctx, pc.objectKey)
	switch {
	case errors.Is(err, core.ErrNotFound):
		return claim.Event{Kind: claim.EventNotFound}
	case err != nil:
		return claim.Event{Kind: claim.EventReadFailed}
	}
	// A malformed record is passed on as the zero Record, whose state is invalid.
	rec, err := claim.Parse(o.Value)
	if err != nil {
		a.Log.WithField("object", pc.objectKey).WithError(err).Error("action_record_malformed")
	}
	return claim.Event{Kind: claim.EventRead, Version: o.Version, Record: rec}
}

// storeContext returns a context that ends a store call at the client's deadline, but not before minStoreTimeout, if that is
// earlier than the store's own timeout. The store completes a canceled call in the background, so that its circuit breaker
// counts the outcome.
func (a *Action) storeContext(ctx context.Context, pc *protectedCall) (context.Context, context.CancelFunc) {
	if left := pc.deadline.Sub(a.Clock.Now()); left > 0 && left < milliseconds(a.cfg.GetStoreTimeoutMs()) {
		return context.WithTimeout(ctx, max(left, minStoreTimeout))
	}
	return context.WithCancel(ctx)
}

// recordTimeLeft returns how long to keep retrying the write of a record. During Close the time is short, so that a shutdown
// does not last as long as an outage of the store. An abandoned record causes no wrong reply: the client already has its
// reply, and later calls with the key are answered with an unknown outcome.
func (a *Action) recordTimeLeft(pc *protectedCall, failingSince time.Time) time.Duration {
	a.mu.Lock()
	stopped := a.stoppedAt
	a.mu.Unlock()
	if stopped.IsZero() || !pc.clientDone.Load() {
		return recordTimeout
	}
	if failingSince.After(stopped) {
		stopped = failingSince
	}
	return stopped.Add(milliseconds(a.cfg.GetActionStopMs())).Sub(a.Clock.Now())
}

// pauseBeforeRetry waits for a random time that grows with the number of failures and is at most left. The pause is shorter
// while a client waits for the deadline, and ends when Close begins. It returns false if no time is left or ctx has ended.
func (a *Action) pauseBeforeRetry(ctx context.Context, failures int, deadline time.Time, left time.Duration) bool {
	if left <= 0 {
		return false
	}
	limit := min(firstPause<<min(failures-1, maxPauseDoublings), maxBackgroundPause)
	if wait := deadline.Sub(a.Clock.Now()); wait > 0 {
		limit = min(limit, maxClientPause, wait)
	}
	t := time.NewTimer(min(rand.N(limit)+1, left))
	defer t.Stop()
	stopping := a.stopping
	select {
	case <-stopping:
		stopping = nil // only the beginning of Close ends a pause
	default:
	}
	select {
	case <-t.C:
	case <-stopping:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// sendAndWait sends to one endpoint and waits for the outcome. At the deadline it replies to the client and keeps waiting.
func (a *Action) sendAndWait(ctx context.Context, pc *protectedCall, machine *claim.Claim, fencing core.Version) claim.Step {
	outcome := make(chan claim.Event, 1)
	a.wg.Go(func() {
		e := claim.Event{Kind: claim.EventAnswerLost} // after a panic, as the call may have been sent
		a.Protect("sending an action", func() { e = a.sendToEndpoint(ctx, pc, fencing) })
		outcome <- e
	})
	timer := time.NewTimer(pc.deadline.Sub(a.Clock.Now()))
	defer timer.Stop()
	for {
		select {
		case e := <-outcome:
			if !e.MoreEndpoints {
				pc.body = nil // free it now: recording the outcome does not need it and may take long
			}
			return machine.Next(a.Clock.Now(), e)
		case <-timer.C:
			if s := machine.Next(a.Clock.Now(), claim.Event{Kind: claim.EventDeadline}); s.Reply != nil {
				pc.replies <- s.Reply
			}
		}
	}
}

// sendToEndpoint sends the call to an endpoint that has not been tried yet and reads its answer.
func (a *Action) sendToEndpoint(ctx context.Context, pc *protectedCall, fencing core.Version) claim.Event {
	ep, ok := a.picker.acquire(a.candidates(pc.service, pc.tried))
	if !ok {
		return claim.Event{Kind: claim.EventNotSent}
	}
	defer a.picker.release(ep.id)
	if len(pc.tried) == 0 {
		a.retryBudget.CountCall(pc.team, ep.id)
	}
	pc.tried[ep.id] = true
	ctx, cancel := context.WithDeadline(ctx, pc.deadline.Add(lateAnswerWait))
	defer cancel()
	resp, sent, err := a.send(ctx, pc.call, ep, fencing)
	log := a.Log.WithField("request_id", pc.id).WithField("object", pc.objectKey).WithField("endpoint", ep.id)
	switch {
	case err != nil && !sent:
		log.WithError(err).Warn("action_not_sent")
		more := len(a.candidates(pc.service, pc.tried)) > 0 && a.retryBudget.TakeRetry(pc.team, ep.id)
		return claim.Event{Kind: claim.EventNotSent, MoreEndpoints: more}
	case err != nil:
		log.WithError(err).Warn("action_answer_lost")
		return claim.Event{Kind: claim.EventAnswerLost}
	}
	defer resp.Body.Close()
	limit := a.cfg.GetMaxBodyBytes()
	b, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		log.WithError(err).Warn("action_answer_lost")
		return claim.Event{Kind: claim.EventAnswerLost}
	}
	res := &claim.Result{Status: resp.StatusCode, Header: withoutHopByHop(resp.Header), Body: b}
	if int64(len(b)) > a.cfg.GetActionResultBytes() {
		res.Body, res.BodyOmitted = nil, true
		if int64(len(b)) <= limit {
			pc.fullBody = b
		}
	}
	return claim.Event{Kind: claim.EventAnswer, Result: res}
}

// writeReply writes the reply of an attempt to the client; ok is false when there is no reply.
func (a *Action) writeReply(w http.ResponseWriter, pc *protectedCall, rep *claim.Reply, ok bool) {
	switch {
	case !ok:
		reply.Error(w, pc.id, &core.Error{
			Kind: core.KindOutcomeUnknown, Message: "the call ended before the action's outcome was known",
			Remedy: "look the action up, or repeat the call with the same idempotency key", Execution: core.ExecutionUnknown,
		})
		return
	case rep.Err != nil:
		reply.Error(w, pc.id, rep.Err)
		return
	}
	res, body := rep.Result, rep.Result.Body
	if res.BodyOmitted {
		if body = pc.fullBody; rep.Replayed || body == nil {
			reply.Error(w, pc.id, &core.Error{
				Kind:    core.KindOutcomeUnknown,
				Message: "the action ran and answered with status " + strconv.Itoa(res.Status) + ", but its answer is too large to be kept",
				Remedy:  "ask the service for the result; don't repeat the action", Execution: core.Executed,
			})
			return
		}
	}
	copyHeader(w.Header(), res.Header)
	w.Header().Set(headerRequestID, string(pc.id))
	w.Header().Del("Content-Length") // that of an answer to HEAD is not the length of this body
	if len(body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	if rep.Replayed {
		w.Header().Set(headerReplayed, "true")
	}
	w.WriteHeader(res.Status)
	_, _ = w.Write(body) // the client may be gone; the result is recorded
}
