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

// maxStartAttempts is the maximum number of endpoints at which the start of a call is tried.
const maxStartAttempts = 3

// Serve runs a call and sends its frames to the entry; it returns after the last frame.
func (h *Host) Serve(ctx context.Context, req *core.CallRequest, send func(*core.Frame) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if err := h.registerCall(req.RequestID, cancel); err != nil {
		return err
	}
	defer h.unregisterCall(req.RequestID)
	release, err := h.reservePrompt(req)
	if err != nil {
		return err
	}
	defer release()
	defer context.AfterFunc(h.lifetime, func() { cancel(context.Canceled) })()
	if req.DeadlineMS > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, ms(req.DeadlineMS))
		defer stop()
	}
	p, err := h.openPool(req.Pool)
	if err != nil {
		return err
	}
	c := &callRun{Host: h, pool: p, req: req, call: h.newCall(req), send: send, releasePrompt: release}
	defer func() {
		load := p.Load()
		_ = send(&core.Frame{Load: &load}) // an optional hint for the entry
	}()
	if req.Resume != nil {
		return c.resumeGeneration(ctx)
	}
	return c.startCall(ctx)
}

// reservePrompt reserves the bytes of a call's prompt and returns a function that releases them. A call that another owner
// had already queued, or that already runs, is never refused.
func (h *Host) reservePrompt(req *core.CallRequest) (release func(), err error) {
	cfg, n := h.config.Config(), int64(len(req.Prompt))
	holder := quota.Holder{Team: req.Team, Rank: req.Rank}
	if req.PreviouslyQueued || req.Resume != nil {
		h.prompts.AcquireForced(holder, n)
	} else if !h.prompts.Acquire(holder, n, cfg.Teams[req.Team].GetWeight(), cfg.RanksAbove(req.Rank)) {
		h.counters.Count("instance_full")
		return nil, &core.Error{
			Kind: core.KindOverloaded, Execution: core.NotExecuted, RetryAfter: time.Second + rand.N(time.Second),
			Message: fmt.Sprintf("team %q has its part of the %d bytes of prompts that the owner of pool %q holds for rank %q",
				req.Team, h.cfg.GetOpenBodyBytes(), req.Pool, req.Rank),
			Remedy: "send the request again after the stated time, with fewer open requests",
		}
	}
	return sync.OnceFunc(func() { h.prompts.Release(holder, n) }), nil
}

func (h *Host) newCall(req *core.CallRequest) core.Call {
	c := core.Call{
		ID: req.RequestID, Service: req.Service, Team: req.Team, Rank: req.Rank,
		PromptTokens: prefix.EstimateTokens(req.Prompt), MaxTokens: req.MaxTokens, Prefixes: prefix.Hashes(req.Prompt),
		PreviouslyQueued: req.PreviouslyQueued,
	}
	if req.DeadlineMS > 0 {
		c.Deadline = h.Clock.Now().Add(ms(req.DeadlineMS))
	}
	for _, ep := range req.Avoid {
		c.Avoid = append(c.Avoid, core.EndpointID(ep))
	}
	return c
}

// callRun is the state of one call at the owner of its pool.
type callRun struct {
	*Host
	pool *pool.Pool
	req  *core.CallRequest
	call core.Call
	send func(*core.Frame) error
	// releasePrompt releases the reserved bytes of the prompt.
	releasePrompt func()
	// event and frame are reused for each event of the stream.
	event core.Event
	frame core.Frame
}

// startCall waits for admission and starts the generation; if an endpoint does not take it, another one is tried.
func (c *callRun) startCall(ctx context.Context) error {
	var last error
	run := core.NotExecuted
	for i := 0; i < maxStartAttempts; i++ {
		ep, runner, err := c.pool.Admit(ctx, c.call)
		if errors.Is(err, core.ErrNotSent) {
			continue
		}
		if err != nil {
			if errors.Is(err, pool.ErrDrained) {
				_ = c.send(&core.Frame{PreviouslyQueued: true}) // without it the next owner may refuse the call for overload
			}
			return refusalAfterAttempt(run, err)
		}
		stream, err := c.startGeneration(ctx, runner)
		if err == nil {
			c.releasePrompt()
			c.req.Prompt = "" // the engine has it; a long prompt would stay in memory until the end of the answer
			r := follow.New(runner, stream, c.req.RequestID, "", 0, c.followOptions()...)
			return c.forwardEvents(ctx, r, ep, runner)
		}
		c.pool.Finish(c.call.ID, false)
		c.pool.RecordFailure(ep, errors.Is(err, core.ErrRunnerLeaving))
		c.counters.Count("endpoint_start_failures")
		c.Log.WithFields(map[string]any{"endpoint": ep, "request_id": c.req.RequestID, "error": err.Error()}).
			Warn("endpoint did not take the call")
		c.call.Avoid = append(c.call.Avoid, ep)
		last = err
		if !errors.Is(err, core.ErrNotSent) && !errors.Is(err, core.ErrRunnerLeaving) {
			run = core.ExecutionUnknown // the engine may have started it
		}
		if ctx.Err() != nil {
			break
		}
	}
	return &core.Error{
		Kind: core.KindNoEndpoint, Message: "no endpoint of the pool took the call", Remedy: "send the request again later",
		Execution: run, RetryAfter: time.Second, Cause: last,
	}
}

// refusalAfterAttempt returns the error of a later attempt, which does not prove that an earlier attempt was not run.
func refusalAfterAttempt(earlier core.Execution, err error) error {
	var refusal *core.Error
	if earlier == core.NotExecuted || !errors.As(err, &refusal) {
		return err
	}
	e := *refusal
	e.Execution = earlier
	return &e
}

// responseHeaderTimeout bounds the time until an engine sends the response headers for a generate request.
const responseHeaderTimeout = 3 * time.Second

func (c *callRun) startGeneration(ctx context.Context, runner core.Runner) (core.Stream, error) {
	rank := c.config.Config().Ranks[c.req.Rank]
	return follow.Open(ctx, responseHeaderTimeout, func(ctx context.Context) (core.Stream, error) {
		return runner.Generate(ctx, core.GenerateRequest{
			RequestID: c.req.RequestID, Model: c.req.Model, Prompt: c.req.Prompt,
			MaxTokens: c.req.MaxTokens, Priority: rank.GetPriority(), Seed: c.req.Seed,
		})
	})
}

func (c *callRun) followOptions() []follow.Option {
	return []follow.Option{
		follow.WithSilence(ms(c.cfg.GetSilenceProbeMs())), follow.WithCounters(c.counters), follow.WithCommon(c.Common),
		follow.WithFlush(func() { _ = c.send(&core.Frame{}) }), // if the connection is lost, the next frame fails, too
	}
}

// resumeGeneration continues a generation that another owner started.
func (c *callRun) resumeGeneration(ctx context.Context) error {
	at := c.req.Resume
	runner := c.pool.Adopt(c.call, at.Endpoint, at.From)
	if runner == nil {
		return c.generationLost(at.From, fmt.Errorf("endpoint %q is not in pool %q", at.Endpoint, c.req.Pool))
	}
	c.counters.Count("adopted_streams")
	// An engine that accepts the connection but does not answer would otherwise hold the call until its deadline.
	stream, err := follow.Open(ctx, ms(c.cfg.GetSilenceProbeMs()), func(ctx context.Context) (core.Stream, error) {
		return runner.Resume(ctx, at.Generation, at.From)
	})
	if err != nil {
		stream = failedStream{err}
	}
	r := follow.New(runner, stream, c.req.RequestID, at.Generation, at.From, c.followOptions()...)
	return c.forwardEvents(ctx, r, at.Endpoint, runner)
}

// failedStream is a stream that fails at once; it makes follow.Reader retry a resume whose first attempt failed.
type failedStream struct{ err error }

// Next returns the error of the failed resume.
func (s failedStream) Next() (core.Event, error) { return core.Event{}, s.err }

// Close does nothing.
func (s failedStream) Close() error { return nil }

// generationLost returns the error for a generation that cannot be continued after n tokens.
func (c *callRun) generationLost(n core.Tokens, cause error) error {
	return &core.Error{
		Kind: core.KindStreamBroken, Message: fmt.Sprintf("the generation was lost after %d tokens", n),
		Remedy: "send the request again to get a new generation", Execution: core.ExecutionUnknown, TokensDelivered: n, Cause: cause,
	}
}

// forwardEvents passes the events of a generation to the policy and to the entry until the generation ends.
func (c *callRun) forwardEvents(ctx context.Context, r *follow.Reader, ep core.EndpointID, runner core.Runner) error {
	defer context.AfterFunc(ctx, func() { _ = r.Close() })()
	defer r.Close()
	complete := false
	for !complete {
		ev, err := r.Next(ctx)
		if err == nil {
			c.pool.Observe(c.call.ID, ev, r.Received())
			err = c.forwardEvent(ev, ep, r)
			complete = ev.Done && err == nil
		}
		if err != nil {
			c.endIncomplete(ctx, r, runner)
			return withDeadlineKind(ctx, r, err)
		}
	}
	c.pool.Finish(c.call.ID, true)
	return nil
}

// withDeadlineKind returns an error of KindDeadline if the call's deadline has passed, and err otherwise.
func withDeadlineKind(ctx context.Context, r *follow.Reader, err error) error {
	if !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return err
	}
	return &core.Error{
		Kind: core.KindDeadline, Message: "the deadline passed before the answer was complete",
		Remedy: "allow more time", Execution: core.Executed, TokensDelivered: r.Received(), Cause: err,
	}
}

func (c *callRun) forwardEvent(ev core.Event, ep core.EndpointID, r *follow.Reader) error {
	if ev.GenerationID != "" {
		c.pool.RecordAnswer(ep, ev.Leaving)
		return c.send(&core.Frame{Started: &core.ResumePoint{Endpoint: ep, Generation: ev.GenerationID, From: r.Received(), Waiting: ev.Accepted}})
	}
	c.event = ev
	c.frame = core.Frame{Event: &c.event, More: ev.More}
	return c.send(&c.frame)
}

// endIncomplete cleans up after a call whose generation was not forwarded to its end.
//
// If the client has disconnected or the deadline has passed, the generation is canceled. If the connection to the entry was
// lost, the generation keeps running, because the entry resumes it through another owner; its memory stays counted until the
// engine reports its end, a status poll fails, maxOrphanWait has passed or the Host is closed. In all other cases, such as a
// broken stream or a generation whose id is not known, the call only ends in the policy.
func (c *callRun) endIncomplete(ctx context.Context, r *follow.Reader, runner core.Runner) {
	id := r.Generation()
	cause := context.Cause(ctx)
	if id == "" || cause == nil {
		c.pool.Finish(c.call.ID, false)
		return
	}
	if errors.Is(cause, errCanceledByEntry) || errors.Is(cause, context.DeadlineExceeded) {
		cctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), responseHeaderTimeout)
		defer cancel()
		if err := runner.Cancel(cctx, id); err != nil && !errors.Is(err, core.ErrUnknownGeneration) {
			c.Log.WithFields(map[string]any{"generation_id": id, "error": err.Error()}).Warn("canceling the generation failed; it will run to its end")
		}
		c.pool.Finish(c.call.ID, false)
		return
	}
	c.counters.Count("orphaned_generations")
	c.orphanWatchers.Go(func() { c.Protect("waiting for an orphaned generation", func() { c.awaitOrphan(id, runner) }) })
}

// maxOrphanWait bounds how long the memory of an orphaned generation stays counted.
const maxOrphanWait = 5 * time.Minute

// awaitOrphan polls the status of an orphaned generation until it ends, a poll fails or maxOrphanWait has passed, and then
// reports the end of the call to the policy.
func (c *callRun) awaitOrphan(id core.GenerationID, runner core.Runner) {
	defer c.pool.Finish(c.call.ID, false)
	ctx, cancel := context.WithTimeout(c.lifetime, maxOrphanWait)
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
