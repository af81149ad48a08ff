package host_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/core/fifo"
	"snipeshed/core/member"
	"snipeshed/io/host"
	"snipeshed/wire"
)

// fakeEngine fails each generate call with the next of its errors.
type fakeEngine struct {
	core.Runner
	errs  []error
	calls int
	// leaving makes load reports say that the engine is leaving, so that calls stay in the queue.
	leaving bool
}

func (e *fakeEngine) Load(context.Context) (core.RunnerLoad, error) {
	return core.RunnerLoad{Model: "m", KVCapacity: 1000, Leaving: e.leaving}, nil
}

func (e *fakeEngine) SendOrder(context.Context, core.RunnerOrder) error { return nil }

func (e *fakeEngine) Generate(context.Context, core.GenerateRequest) (core.Stream, error) {
	e.calls++
	return nil, e.errs[e.calls-1]
}

// refuseAfterFirst is a policy that refuses every call after the first.
type refuseAfterFirst struct {
	*fifo.Fifo
	offers int
}

func (c *refuseAfterFirst) Offer(now time.Time, call core.Call) []core.Action {
	c.offers++
	if c.offers == 1 {
		return c.Fifo.Offer(now, call)
	}
	return []core.Action{{Kind: core.ActionRefuse, ID: call.ID, Err: &core.Error{Kind: core.KindOverloaded, Execution: core.NotExecuted}}}
}

type fixedConfig struct{ cfg *core.Config }

func (s fixedConfig) Config() *core.Config { return s.cfg }
func (s fixedConfig) CheckFresh() error    { return nil }

// newHost returns a host with one endpoint of model m.
func newHost(t *testing.T, e *fakeEngine, newPolicy func() core.Policy) *host.Host {
	cfg := &conf.Settings{Instance: "self", FailureDomain: "d", PlatformUrl: "http://127.0.0.1:1"}
	conf.SetDefaults(cfg)
	log := logrus.New()
	log.SetOutput(io.Discard)
	src := fixedConfig{&core.Config{Number: 1, Endpoints: map[core.EndpointID]*wire.Endpoint{
		"e": {Name: "e", Address: "10.0.0.1:1", Wanted: &wire.Wanted{Model: "m"}},
	}}}
	return host.New(core.NewCommon(log.WithField("test", t.Name())), cfg, src, member.New(core.Peer{ID: "self"}, time.Second),
		newPolicy, host.WithRunner(func(string) core.Runner { return e }))
}

// TestRunOutcomeOfRefusalAfterAttempt guards against a refusal that reports "not_run" although the engine may have
// started the generation in an earlier attempt.
func TestRunOutcomeOfRefusalAfterAttempt(t *testing.T) {
	tests := []struct {
		name string
		err  error
		run  core.Execution
	}{
		{"the engine did not get the call", core.ErrNotSent, core.NotExecuted},
		{"the engine is leaving", core.ErrRunnerLeaving, core.NotExecuted},
		{"the engine's answer was lost", errors.New("connection reset"), core.ExecutionUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := &fakeEngine{errs: []error{tt.err}}
				h := newHost(t, e, func() core.Policy { return &refuseAfterFirst{Fifo: fifo.New()} })
				defer h.Close()
				err := h.Serve(t.Context(), &core.CallRequest{RequestID: "r", Pool: "m/0", Model: "m"},
					func(*core.Frame) error { return nil })
				var refusal *core.Error
				is.True(errors.As(err, &refusal))
				is.Equal(refusal.Kind, core.KindOverloaded)
				is.Equal(refusal.Execution, tt.run)
				is.Equal(e.calls, 1)
			})
		})
	}
}

// TestDrainedCallIsMarkedPreviouslyQueued guards against a call from the queue of a stopping owner that the next owner takes for
// a new one and refuses for overload.
func TestDrainedCallIsMarkedPreviouslyQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHost(t, &fakeEngine{leaving: true}, func() core.Policy { return fifo.New() })
		defer h.Close()
		time.AfterFunc(time.Second, h.Drain)
		marked := false
		err := h.Serve(t.Context(), &core.CallRequest{RequestID: "r", Pool: "m/0", Model: "m"}, func(f *core.Frame) error {
			marked = marked || f.PreviouslyQueued
			return nil
		})
		is.Equal(core.ErrorKindOf(err), core.KindLeaving)
		is.True(marked)

		marked = false
		err = h.Serve(t.Context(), &core.CallRequest{RequestID: "late", Pool: "m/0", Model: "m"}, func(f *core.Frame) error {
			marked = marked || f.PreviouslyQueued
			return nil
		})
		is.Equal(core.ErrorKindOf(err), core.KindLeaving)
		is.True(!marked) // it was never in the queue
	})
}

// TestPromptBytesOfQueuedCalls guards against prompts of one team that use up the memory of a pool's owner, and against
// refusing a call for lack of memory although another owner had already queued it.
func TestPromptBytesOfQueuedCalls(t *testing.T) {
	for _, tt := range []struct {
		name string
		call core.CallRequest
		kind core.ErrorKind
	}{
		{"new call of the team", core.CallRequest{Team: "large"}, core.KindOverloaded},
		{"call that another owner had admitted", core.CallRequest{Team: "large", PreviouslyQueued: true}, core.KindDeadline},
		{"new call of another team", core.CallRequest{Team: "small"}, core.KindDeadline},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := newHost(t, &fakeEngine{leaving: true}, func() core.Policy { return fifo.New() })
				defer h.Close()
				prompt := strings.Repeat("x", 30<<20) // the default of open_body_bytes has room for two, but only one of each team
				serve := func(req core.CallRequest) error {
					req.Pool, req.Model, req.Prompt, req.DeadlineMS = "m/0", "m", prompt, 1000
					return h.Serve(t.Context(), &req, func(*core.Frame) error { return nil })
				}
				go func() { _ = serve(core.CallRequest{RequestID: "first", Team: "large"}) }() // waits in the queue
				synctest.Wait()
				tt.call.RequestID = "second"
				is.Equal(core.ErrorKindOf(serve(tt.call)), tt.kind)
				time.Sleep(2 * time.Second) // past the first call's deadline
				is.Equal(h.PromptBytes(), int64(0))
			})
		})
	}
}
