package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/length"
)

const gapRank core.RankName = "fast"

// newWithGapTarget returns a Controller with a token gap target of 31 ms.
func newWithGapTarget(endpoints int, opts ...Option) *Controller {
	ctrl := New(length.New(), opts...)
	ctrl.SetRules(core.PolicyRules{Ranks: []core.RankRule{{Name: gapRank, TokenGapTarget: 31 * time.Millisecond}}})
	ctrl.SetRunners(runners(endpoints, 1_000_000))
	return ctrl
}

func newFastCall(id string, prompt core.Tokens) core.Call {
	return core.Call{ID: core.RequestID(id), Rank: gapRank, PromptTokens: prompt, MaxTokens: 100_000}
}

// engine simulates the steps of one endpoint: 8 ms, plus 0.1 ms per call and 20 µs per prompt token.
type engine struct {
	ctrl  *Controller
	ep    core.EndpointID
	now   time.Time
	calls []core.RequestID
	got   map[core.RequestID]core.Tokens
	n     int
}

// step gives every call one token; if prompt is above 0, it first starts one more call with that many prompt tokens.
func (e *engine) step(prompt core.Tokens) {
	d := 8*time.Millisecond + time.Duration(len(e.calls))*100*time.Microsecond + time.Duration(prompt)*20*time.Microsecond
	if prompt > 0 {
		e.n++
		c := newFastCall(fmt.Sprint(e.ep, "-", e.n), prompt)
		e.ctrl.Start(c, e.ep, 0)
		e.calls = append(e.calls, c.ID)
	}
	e.now = e.now.Add(d)
	for _, id := range e.calls {
		e.got[id]++
		e.ctrl.RecordTokens(e.now, id, e.got[id])
	}
}

func (e *engine) finish(n int) {
	for _, id := range e.calls[:n] {
		e.ctrl.Finish(id)
	}
	e.calls = e.calls[n:]
}

// runToLearn runs an endpoint for 2000 steps to fit its step times and leaves it with n running calls.
func runToLearn(ctrl *Controller, ep core.EndpointID, n int) *engine {
	e := &engine{ctrl: ctrl, ep: ep, now: t0, got: map[core.RequestID]core.Tokens{}}
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 2000 {
		prompt := core.Tokens(0)
		if i%3 == 0 {
			prompt = core.Tokens(10 + rng.IntN(600))
		}
		e.step(prompt)
		if len(e.calls) > 30 {
			e.finish(rng.IntN(30))
		}
	}
	for len(e.calls) < n {
		e.step(20)
	}
	e.finish(len(e.calls) - n)
	return e
}

// Guards against wrongly learned step times, which let prompts stall streams or wait without need.
func TestStepTimeModelLearnsSteps(t *testing.T) {
	ctrl := newWithGapTarget(1)
	e := runToLearn(ctrl, "e0", 20)
	m := &ctrl.endpoints["e0"].stepTime
	for _, tc := range []struct {
		calls  int
		prompt core.Tokens
		want   time.Duration
	}{{1, 0, 8100 * time.Microsecond}, {20, 0, 10 * time.Millisecond}, {60, 0, 14 * time.Millisecond}, {20, 500, 20 * time.Millisecond}, {40, 1000, 32 * time.Millisecond}} {
		t.Run(fmt.Sprintf("%d calls, %d prompt tokens", tc.calls, tc.prompt), func(t *testing.T) {
			is := is.New(t)
			is.True((m.expectedGap(tc.calls, tc.prompt) - tc.want).Abs() < 500*time.Microsecond)
		})
	}
	is := is.New(t)
	e.finish(20)
	m.fit()
	before := m.coefficients
	ctrl.Start(newFastCall("preempted", 10), "e0", 0)
	ctrl.RecordTokens(t0.Add(time.Hour), "preempted", 1)
	ctrl.RecordPreemption("preempted")
	ctrl.RecordTokens(t0.Add(time.Hour+500*time.Millisecond), "preempted", 2)
	ctrl.RecordTokens(t0.Add(time.Hour+20*time.Second), "preempted", 3)
	ctrl.Finish("preempted")
	m.fit()
	is.Equal(m.coefficients, before) // gaps caused by a preemption or a network stall are not steps
}

// Guards against a long prompt that delays many streams although another endpoint has few of them, and against a long
// prompt that never starts.
func TestLongPromptGoesWhereFewCallsRun(t *testing.T) {
	is := is.New(t)
	ctrl := newWithGapTarget(2)
	runToLearn(ctrl, "e0", 30)
	few := runToLearn(ctrl, "e1", 10)
	c := newFastCall("c", 1200)
	ep, ok := ctrl.Choose(&c, 0, nil, true)
	is.True(ok)
	is.Equal(ep, core.EndpointID("e1"))
	ctrl.Start(newFastCall("other", 400), "e1", 0)
	ep, ok = ctrl.Choose(&c, 0, nil, true)
	is.True(!ok) // waits for the other prompt
	is.Equal(ep, core.EndpointID("e1"))
	ep, ok = ctrl.Choose(&c, 0, nil, false)
	is.True(ok)
	is.Equal(ep, core.EndpointID("e0"))
	short := newFastCall("short", 100)
	ctrl.Finish("other")
	few.finish(10)
	ep, ok = ctrl.Choose(&short, 0, nil, true)
	is.True(ok)
	is.Equal(ep, core.EndpointID("e1")) // no streams to delay: the lowest forecast
}

// Guards against a limit that ignores stalls, never grows again, or shuts out an engine that can never meet the target.
func TestStreamLimitFollowsStall(t *testing.T) {
	is := is.New(t)
	const target, most = 31 * time.Millisecond, 64
	limit := streamLimit{limit: most}
	now := t0
	run := func(seconds int, gap time.Duration, running int) {
		for end := now.Add(time.Duration(seconds) * time.Second); now.Before(end); {
			now = now.Add(gap)
			for range running {
				limit.recordGap(now, gap, target, running, most)
			}
		}
	}
	run(10, 30*time.Millisecond, 40)
	is.Equal(limit.limit, most)
	run(5, 32*time.Millisecond, 40)
	is.True(limit.limit > minRunning && limit.limit < 35)
	run(60, 200*time.Millisecond, 40)
	is.Equal(limit.limit, minRunning)
	run(60, 30*time.Millisecond, 8)
	is.Equal(limit.limit, most)
}

// Guards against an engine that is too slow for the target and therefore gets no calls at all.
func TestSlowEngineKeepsMinimumCalls(t *testing.T) {
	is := is.New(t)
	ctrl := newWithGapTarget(1)
	e := runToLearn(ctrl, "e0", 30)
	c := newFastCall("c", 10)
	ctrl.SetRules(core.PolicyRules{Ranks: []core.RankRule{{Name: gapRank, TokenGapTarget: 8500 * time.Microsecond}}})
	_, ok := ctrl.Choose(&c, 0, nil, false)
	is.True(!ok)
	e.finish(30 - minRunning + 1)
	_, ok = ctrl.Choose(&c, 0, nil, false)
	is.True(ok)
}

// Guards against urgent calls that are refused because calls with a longer gap target took the slots, and against
// background calls that are kept away from an engine where only urgent streams stall.
func TestStreamLimitIsPerGapTarget(t *testing.T) {
	is := is.New(t)
	const slowRank core.RankName = "slow"
	ctrl := New(length.New())
	ctrl.SetRules(core.PolicyRules{Ranks: []core.RankRule{
		{Name: gapRank, TokenGapTarget: 31 * time.Millisecond}, {Name: slowRank, TokenGapTarget: 62 * time.Millisecond},
	}})
	ctrl.SetRunners(runners(1, 1_000_000))
	for i := range 10 {
		c := newFastCall(fmt.Sprint(i), 10)
		c.Rank = slowRank
		ctrl.Start(c, "e0", 1)
	}
	first := newFastCall("first", 10)
	ctrl.Start(first, "e0", 1)
	e := ctrl.endpoints["e0"]
	fits := func(r core.RankName) bool {
		c := newFastCall("c", 10)
		c.Rank = r
		_, ok := ctrl.Choose(&c, 0, nil, false)
		return ok
	}
	e.findGapTarget(31 * time.Millisecond).streamLimit.limit = 2
	is.True(fits(gapRank))
	is.True(fits(slowRank)) // its own streams don't stall
	e.findGapTarget(62 * time.Millisecond).streamLimit.limit = 10
	is.True(fits(gapRank))
	is.True(!fits(slowRank))
	e.findGapTarget(31 * time.Millisecond).streamLimit.limit = 1
	is.True(!fits(gapRank))
}
