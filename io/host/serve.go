package host

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"snipeshed/core"
	"snipeshed/core/prefix"
	"snipeshed/core/quota"
	"snipeshed/io/follow"
	"snipeshed/io/pool"
)

// maxStarts bounds how many endpoints one call tries before anything was delivered.
const maxStarts = 3

// Serve runs a call of a pool and sends its frames; it returns after the last one.
func (h *Host) Serve(ctx context.Context, req *core.CallRequest, send func(*core.Frame) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if err := h.register(req.RequestID, cancel); err != nil {
		return err
	}
	defer h.unregister(req.RequestID)
	leave, err := h.hold(req)
	if err != nil {
		return err
	}
	defer leave()
	defer context.AfterFunc(h.life, func() { cancel(context.Canceled) })()
	if req.DeadlineMS > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, ms(req.DeadlineMS))
		defer stop()
	}
	p, err := h.pool(req.Pool)
	if err != nil {
		return err
	}
	j := &job{Host: h, pool: p, req: req, call: h.call(req), send: send, leave: leave}
	defer func() {
		load := p.Load()
		_ = send(&core.Frame{Load: &load}) // the load is only a hint
	}()
	if req.Resume != nil {
		return j.resume(ctx)
	}
	return j.start(ctx)
}

// hold takes room for the prompt of a call. A call that was admitted before, or that already runs, is not refused.
func (h *Host) hold(req *core.CallRequest) (leave func(), err error) {
	cfg, n := h.config.Config(), int64(len(req.Prompt))
	holder := quota.Holder{Team: req.Team, Rank: req.Rank}
	if req.Admitted || req.Resume != nil {
		h.prompts.Add(holder, n)
	} else if !h.prompts.Acquire(holder, n, cfg.Teams[req.Team].GetWeight(), cfg.RanksAbove(req.Rank)) {
		h.counters.Count("instance_full")
		return nil, &core.Error{
			Kind: core.KindOverloaded, Run: core.RunNot, RetryAfter: time.Second + rand.N(time.Second),
			Message: fmt.Sprintf("team %q has its part of the %d bytes of prompts that the owner of pool %q holds for rank %q",
				req.Team, h.cfg.GetOpenBodyBytes(), req.Pool, req.Rank),
			Remedy: "send the request again after the stated time, with fewer open requests",
		}
	}
	return sync.OnceFunc(func() { h.prompts.Release(holder, n) }), nil
}

func (h *Host) call(req *core.CallRequest) core.Call {
	c := core.Call{
		ID: req.RequestID, Service: req.Service, Team: req.Team, Rank: req.Rank,
		PromptTokens: prefix.Tokens(req.Prompt), MaxTokens: req.MaxTokens, Prefixes: prefix.Hashes(req.Prompt),
		Admitted: req.Admitted,
	}
	if req.DeadlineMS > 0 {
		c.Deadline = h.Clock.Now().Add(ms(req.DeadlineMS))
	}
	for _, ep := range req.Avoid {
		c.Avoid = append(c.Avoid, core.EndpointID(ep))
	}
	return c
}

// job is one call at its pool's owner.
type job struct {
	*Host
	pool *pool.Pool
	req  *core.CallRequest
	call core.Call
	send func(*core.Frame) error
	// leave gives the room of the prompt back.
	leave func()
	// event and frame are used again for each event of the stream.
	event core.Event
	frame core.Frame
}

// start admits the call and opens its stream, at another endpoint when one does not take it.
func (j *job) start(ctx context.Context) error {
	var last error
	run := core.RunNot
	for i := 0; i < maxStarts; i++ {
		ep, runner, err := j.pool.Admit(ctx, j.call)
		if errors.Is(err, core.ErrNotSent) {
			continue
		}
		if err != nil {
			if errors.Is(err, pool.ErrDrained) {
				_ = j.send(&core.Frame{Admitted: true}) // without it the next owner may refuse the call for overload
			}
			return refusedAfter(run, err)
		}
		stream, err := j.generate(ctx, runner)
		if err == nil {
			j.leave()
			j.req.Prompt = "" // the engine has it; a long one would be held until the end of the answer
			f := follow.New(runner, stream, j.req.RequestID, "", 0, j.followOptions()...)
			return j.relay(ctx, f, ep, runner)
		}
		j.pool.Finish(j.call.ID, false)
		j.pool.Failed(ep, errors.Is(err, core.ErrRunnerLeaving))
		j.counters.Count("endpoint_start_failures")
		j.Log.WithFields(map[string]any{"endpoint": ep, "request_id": j.req.RequestID, "error": err.Error()}).
			Warn("endpoint did not take the call")
		j.call.Avoid = append(j.call.Avoid, ep)
		last = err
		if !errors.Is(err, core.ErrNotSent) && !errors.Is(err, core.ErrRunnerLeaving) {
			run = core.RunUnknown // the engine may have started it
		}
		if ctx.Err() != nil {
			break
		}
	}
	return &core.Error{
		Kind: core.KindNoEndpoint, Message: "no endpoint of the pool took the call", Remedy: "send the request again later",
		Run: run, RetryAfter: time.Second, Cause: last,
	}
}

// refusedAfter returns the refusal of a later attempt, which does not prove that an earlier one was not run.
func refusedAfter(earlier core.Run, err error) error {
	var refusal *core.Error
	if earlier == core.RunNot || !errors.As(err, &refusal) {
		return err
	}
	e := *refusal
	e.Run = earlier
	return &e
}

// headerTimeout bounds the time until an engine answers a generate request with its headers.
const headerTimeout = 3 * time.Second

func (j *job) generate(ctx context.Context, runner core.Runner) (core.Stream, error) {
	rank := j.config.Config().Ranks[j.req.Rank]
	return follow.Open(ctx, headerTimeout, func(ctx context.Context) (core.Stream, error) {
		return runner.Generate(ctx, core.GenerateRequest{
			RequestID: j.req.RequestID, Model: j.req.Model, Prompt: j.req.Prompt,
			MaxTokens: j.req.MaxTokens, Priority: rank.GetPriority(), Seed: j.req.Seed,
		})
	})
}

func (j *job) followOptions() []follow.Option {
	return []follow.Option{
		follow.WithSilence(ms(j.cfg.GetSilenceProbeMs())), follow.WithCounters(j.counters),
		follow.WithFlush(func() { _ = j.send(&core.Frame{}) }), // the next frame meets the same error
	}
}

// resume goes on with a generation that another owner started.
func (j *job) resume(ctx context.Context) error {
	at := j.req.Resume
	runner := j.pool.Adopt(j.call, at.Endpoint, at.From)
	if runner == nil {
		return j.lost(at.From, fmt.Errorf("endpoint %q is not in pool %q", at.Endpoint, j.req.Pool))
	}
	j.counters.Count("adopted_streams")
	// An engine that accepts the connection but does not answer would otherwise hold the call until its deadline.
	stream, err := follow.Open(ctx, ms(j.cfg.GetSilenceProbeMs()), func(ctx context.Context) (core.Stream, error) {
		return runner.Resume(ctx, at.Generation, at.From)
	})
	if err != nil {
		stream = failedStream{err}
	}
	f := follow.New(runner, stream, j.req.RequestID, at.Generation, at.From, j.followOptions()...)
	return j.relay(ctx, f, at.Endpoint, runner)
}

// failedStream lets Follow retry a resume whose first attempt failed.
type failedStream struct{ err error }

// Next returns the error.
func (s failedStream) Next() (core.Event, error) { return core.Event{}, s.err }

// Close does nothing.
func (s failedStream) Close() error { return nil }

func (j *job) lost(n core.Tokens, cause error) error {
	return &core.Error{
		Kind: core.KindStreamBroken, Message: fmt.Sprintf("the generation was lost after %d tokens", n),
		Remedy: "send the request again to get a new generation", Run: core.RunUnknown, TokensDelivered: n, Cause: cause,
	}
}

// relay passes a generation's events to the policy and to the entry until its end.
func (j *job) relay(ctx context.Context, f *follow.Follow, ep core.EndpointID, runner core.Runner) error {
	defer context.AfterFunc(ctx, func() { _ = f.Close() })()
	defer f.Close()
	complete := false
	for !complete {
		ev, err := f.Next(ctx)
		if err == nil {
			j.pool.Observe(j.call.ID, ev, f.Received())
			err = j.forward(ev, ep, f)
			complete = ev.Done && err == nil
		}
		if err != nil {
			j.abandon(ctx, f, runner)
			return ended(ctx, f, err)
		}
	}
	j.pool.Finish(j.call.ID, true)
	return nil
}

// ended gives the error of a passed deadline its kind.
func ended(ctx context.Context, f *follow.Follow, err error) error {
	if !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return err
	}
	return &core.Error{
		Kind: core.KindDeadline, Message: "the deadline passed before the answer was complete",
		Remedy: "allow more time", Run: core.RunYes, TokensDelivered: f.Received(), Cause: err,
	}
}

func (j *job) forward(ev core.Event, ep core.EndpointID, f *follow.Follow) error {
	if ev.GenerationID != "" {
		j.pool.Answered(ep, ev.Leaving)
		return j.send(&core.Frame{Started: &core.ResumePoint{Endpoint: ep, Generation: ev.GenerationID, From: f.Received(), Waiting: ev.Accepted}})
	}
	j.event = ev
	j.frame = core.Frame{Event: &j.event, More: ev.More}
	return j.send(&j.frame)
}

// abandon ends the work on a call that did not reach its end here.
//
// A client that is gone cancels the generation. After a lost connection to the
// entry the generation goes on, because the entry resumes it through another owner;
// its memory stays counted until the engine reports its end.
func (j *job) abandon(ctx context.Context, f *follow.Follow, runner core.Runner) {
	id := f.Generation()
	cause := context.Cause(ctx)
	if id == "" || cause == nil {
		j.pool.Finish(j.call.ID, false)
		return
	}
	if errors.Is(cause, errClientGone) || errors.Is(cause, context.DeadlineExceeded) {
		cctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), headerTimeout)
		defer cancel()
		if err := runner.Cancel(cctx, id); err != nil && !errors.Is(err, core.ErrGone) {
			j.Log.WithFields(map[string]any{"generation_id": id, "error": err.Error()}).Warn("cancel failed; the generation runs to its end")
		}
		j.pool.Finish(j.call.ID, false)
		return
	}
	j.counters.Count("orphaned_generations")
	j.orphans.Go(func() { j.await(id, runner) })
}

// orphanLimit bounds how long an orphaned generation's memory stays counted.
const orphanLimit = 5 * time.Minute

func (j *job) await(id core.GenerationID, runner core.Runner) {
	defer j.pool.Finish(j.call.ID, false)
	ctx, cancel := context.WithTimeout(j.life, orphanLimit)
	defer cancel()
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		st, err := runner.Status(ctx, id)
		if err != nil || st.Done {
			return
		}
	}
}
