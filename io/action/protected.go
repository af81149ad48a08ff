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
	// lateAnswer is how long an answer is awaited after the deadline; it is recorded, so that a retry gets it.
	lateAnswer = 5 * time.Second
	// recordLimit ends attempts to record an outcome during a long outage; the record then stays claimed.
	recordLimit = time.Hour
	// minStoreWait keeps a store call that starts just before the deadline from failing needlessly.
	minStoreWait = 250 * time.Millisecond
	// firstPause and the two limits bound the random pause between store calls, while a client waits and after that.
	firstPause         = 20 * time.Millisecond
	maxPause           = 250 * time.Millisecond
	maxBackgroundPause = 10 * time.Second
	maxPauseDoublings  = 9
)

// flight is one client call of a protected action.
type flight struct {
	*call
	object string
	tried  map[core.EndpointID]bool
	// full is the whole body when it is too large to be recorded.
	full []byte
	tell chan *claim.Reply
	// alone is set once no client waits any more.
	alone atomic.Bool
}

func (a *Action) serveProtected(w http.ResponseWriter, r *http.Request, c *call) {
	if err := a.ready(c); err != nil {
		reply.Error(w, c.id, err)
		return
	}
	now := a.Clock.Now()
	m := claim.New(claim.Attempt{
		Nonce: core.NewRandomID(), Fingerprint: c.fingerprint(), Holder: a.instance, RequestID: c.id, Now: now,
		Deadline: c.deadline,
	})
	f := &flight{
		call: c, object: objectKey(c.service, c.team, c.key), tried: map[core.EndpointID]bool{},
		tell: make(chan *claim.Reply, 1),
	}
	defer f.alone.Store(true)
	// The attempt outlives its client: a client that hangs up must find the outcome when it asks again.
	if !a.start(func() { a.drive(f, m) }) {
		reply.Error(w, c.id, leaving())
		return
	}
	select {
	case t, ok := <-f.tell:
		a.answer(w, f, t, ok)
	case <-r.Context().Done():
		// Mostly the client is gone; if the context ended for another reason, an empty answer would pass for a success.
		a.answer(w, f, nil, false)
	}
}

// ready refuses calls for which a claim would only leave a record behind.
func (a *Action) ready(c *call) error {
	if !a.store.Up() {
		return &core.Error{
			Kind: core.KindStoreDown, Message: "the object API is unreachable, so the action cannot be claimed",
			Remedy: "repeat the call with the same idempotency key", Run: core.RunNot, RetryAfter: time.Second,
		}
	}
	if len(a.candidates(c.service, nil)) == 0 {
		return noEndpoint(c.service, core.RunNot, nil)
	}
	return nil
}

// drive carries out the steps of one attempt.
func (a *Action) drive(f *flight, m *claim.Claim) {
	defer close(f.tell)
	// The time limit is for the outage of the store; an attempt that makes progress ends long before.
	ctx, cancel := context.WithDeadline(a.ctx, f.deadline.Add(recordLimit))
	defer cancel()
	waitedFor := f.deadline
	// failing is the time of the first failed store call since the last transmission.
	var failing time.Time
	step := m.Start()
	for {
		if step.Reply != nil {
			f.tell <- step.Reply
			f.alone.Store(true)
			waitedFor = time.Time{}
		}
		if step.Kind == claim.StepDone {
			return
		}
		if step.Failures > 0 && failing.IsZero() {
			failing = a.Clock.Now()
		}
		if step.Failures > 0 && !a.pause(ctx, step.Failures, waitedFor, a.giveUp(f, failing)) {
			a.countAbandoned()
			a.Log.WithField("object", f.object).WithField("request_id", f.id).Error("action_record_abandoned")
			return
		}
		switch step.Kind {
		case claim.StepRead:
			step = m.Next(a.Clock.Now(), a.get(ctx, f))
		case claim.StepPut:
			e := a.put(ctx, f, step)
			step = m.Next(a.Clock.Now(), e)
		default:
			failing = time.Time{}
			step = a.transmit(ctx, f, m, step.IfVersion)
		}
	}
}

func (a *Action) put(ctx context.Context, f *flight, s claim.Step) claim.Event {
	ctx, cancel := a.storeContext(ctx, f)
	defer cancel()
	version, err := a.store.Put(ctx, f.object, s.Record.Marshal(), s.IfVersion)
	var failed *core.StoreError
	switch {
	case err == nil:
		return claim.Event{Kind: claim.EventWritten, Version: version}
	case errors.Is(err, core.ErrVersion):
		return claim.Event{Kind: claim.EventWriteConflict}
	case errors.As(err, &failed) && failed.Effect == core.EffectNone:
		return claim.Event{Kind: claim.EventWriteFailed}
	}
	return claim.Event{Kind: claim.EventWriteUncertain}
}

func (a *Action) get(ctx context.Context, f *flight) claim.Event {
	ctx, cancel := a.storeContext(ctx, f)
	defer cancel()
	o, err := a.store.Get(ctx, f.object)
	switch {
	case errors.Is(err, core.ErrNotFound):
		return claim.Event{Kind: claim.EventNotFound}
	case err != nil:
		return claim.Event{Kind: claim.EventReadFailed}
	}
	// A malformed record gives a zero one, whose state is none of the known.
	rec, err := claim.Parse(o.Value)
	if err != nil {
		a.Log.WithField("object", f.object).WithError(err).Error("action_record_malformed")
	}
	return claim.Event{Kind: claim.EventRead, Version: o.Version, Record: rec}
}

// storeContext shortens a store call to the time that is left. The call goes on without its caller, so that the store's
// circuit breaker hears whether the object API answers.
func (a *Action) storeContext(ctx context.Context, f *flight) (context.Context, context.CancelFunc) {
	if left := f.deadline.Sub(a.Clock.Now()); left > 0 && left < ms(a.cfg.GetStoreTimeoutMs()) {
		return context.WithTimeout(ctx, max(left, minStoreWait))
	}
	return context.WithCancel(ctx)
}

// giveUp returns the time after which a record that the store does not take is left as it is, so that a stop does not last
// as long as an outage of the store. Nothing wrong is told then: the client has its answer, and without a record later ones
// are told that the outcome is unknown.
func (a *Action) giveUp(f *flight, failing time.Time) time.Duration {
	a.mu.Lock()
	stopped := a.stopped
	a.mu.Unlock()
	if stopped.IsZero() || !f.alone.Load() {
		return recordLimit
	}
	if failing.After(stopped) {
		stopped = failing
	}
	return stopped.Add(ms(a.cfg.GetActionStopMs())).Sub(a.Clock.Now())
}

// pause waits a random time that grows with the number of failures, and less while a client waits for the deadline, at the
// beginning of Close and when only left remains. It returns false once nothing is left or ctx has ended.
func (a *Action) pause(ctx context.Context, failures int, deadline time.Time, left time.Duration) bool {
	if left <= 0 {
		return false
	}
	limit := min(firstPause<<min(failures-1, maxPauseDoublings), maxBackgroundPause)
	if wait := deadline.Sub(a.Clock.Now()); wait > 0 {
		limit = min(limit, maxPause, wait)
	}
	t := time.NewTimer(min(rand.N(limit)+1, left))
	defer t.Stop()
	stopping := a.stopping
	select {
	case <-stopping:
		stopping = nil // only its beginning ends a pause
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

// transmit sends to one endpoint and tells the client at the deadline even when the answer is still awaited.
func (a *Action) transmit(ctx context.Context, f *flight, m *claim.Claim, fencing core.Version) claim.Step {
	outcome := make(chan claim.Event, 1)
	a.wg.Go(func() { outcome <- a.exchange(ctx, f, fencing) })
	timer := time.NewTimer(f.deadline.Sub(a.Clock.Now()))
	defer timer.Stop()
	for {
		select {
		case e := <-outcome:
			if !e.MoreEndpoints {
				f.body = nil // not needed to record the outcome, which may take long
			}
			return m.Next(a.Clock.Now(), e)
		case <-timer.C:
			if s := m.Next(a.Clock.Now(), claim.Event{Kind: claim.EventDeadline}); s.Reply != nil {
				f.tell <- s.Reply
			}
		}
	}
}

// exchange sends to an endpoint that was not tried yet and reads its answer.
func (a *Action) exchange(ctx context.Context, f *flight, fencing core.Version) claim.Event {
	ep, ok := a.pick.take(a.candidates(f.service, f.tried))
	if !ok {
		return claim.Event{Kind: claim.EventNotSent}
	}
	defer a.pick.put(ep.id)
	if len(f.tried) == 0 {
		a.budget.Call(f.team, ep.id)
	}
	f.tried[ep.id] = true
	ctx, cancel := context.WithDeadline(ctx, f.deadline.Add(lateAnswer))
	defer cancel()
	resp, sent, err := a.send(ctx, f.call, ep, fencing)
	log := a.Log.WithField("request_id", f.id).WithField("object", f.object).WithField("endpoint", ep.id)
	switch {
	case err != nil && !sent:
		log.WithError(err).Warn("action_not_sent")
		more := len(a.candidates(f.service, f.tried)) > 0 && a.budget.Retry(f.team, ep.id)
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
	res := &claim.Result{Status: resp.StatusCode, Header: withoutHops(resp.Header), Body: b}
	if int64(len(b)) > a.cfg.GetActionResultBytes() {
		res.Body, res.BodyOmitted = nil, true
		if int64(len(b)) <= limit {
			f.full = b
		}
	}
	return claim.Event{Kind: claim.EventAnswer, Result: res}
}

// answer writes the reply of an attempt; ok is false when the attempt was abandoned.
func (a *Action) answer(w http.ResponseWriter, f *flight, t *claim.Reply, ok bool) {
	switch {
	case !ok:
		reply.Error(w, f.id, &core.Error{
			Kind: core.KindOutcomeUnknown, Message: "the call ended before the action's outcome was known",
			Remedy: "look the action up, or repeat the call with the same idempotency key", Run: core.RunUnknown,
		})
		return
	case t.Err != nil:
		reply.Error(w, f.id, t.Err)
		return
	}
	res, body := t.Result, t.Result.Body
	if res.BodyOmitted {
		if body = f.full; t.Replayed || body == nil {
			reply.Error(w, f.id, &core.Error{
				Kind:    core.KindOutcomeUnknown,
				Message: "the action ran and answered with status " + strconv.Itoa(res.Status) + ", but its answer is too large to be kept",
				Remedy:  "ask the service for the result; don't repeat the action", Run: core.RunYes,
			})
			return
		}
	}
	copyHeader(w.Header(), res.Header)
	w.Header().Set(headerID, string(f.id))
	w.Header().Del("Content-Length") // the one of a HEAD answer is not that of the body
	if len(body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	if t.Replayed {
		w.Header().Set(headerReplay, "true")
	}
	w.WriteHeader(res.Status)
	_, _ = w.Write(body) // the client may be gone; the result is recorded
}
