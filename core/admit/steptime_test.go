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
	a := New(length.New(), opts...)
	a.SetRules(core.PolicyRules{Ranks: []core.RankRule{{Name: gapRank, TokenGapTarget: 31 * time.Millisecond}}})
	a.SetRunners(runners(endpoints, 1_000_000))
	return a
}

func newFastCall(id string, prompt core.Tokens) core.Call {
	return core.Call{ID: core.RequestID(id), Rank: gapRank, PromptTokens: prompt, MaxTokens: 100_000}
}

// engine simulates the steps of one endpoint: 8 ms, plus 0.1 ms per call and 20 µs per prompt token.
type engine struct {
	a     *Controller
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
		e.a.Start(c, e.ep, 0)
		e.calls = append(e.calls, c.ID)
	}
	e.now = e.now.Add(d)
	for _, id := range e.calls {
		e.got[id]++
		e.a.RecordTokens(e.now, id, e.got[id])
	}
}

func (e *engine) finish(n int) {
	for _, id := range e.calls[:n] {
		e.a.Finish(id)
	}
	e.calls = e.calls[n:]
}

// runToLearn runs an endpoint for 2000 steps to fit its step times and leaves it with n running calls.
func runToLearn(a *Controller, ep core.EndpointID, n int) *engine {
	e := &engine{a: a, ep: ep, now: t0, got: map[core.RequestID]core.Tokens{}}
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
	a := newWithGapTarget(1)
	e := runToLearn(a, "e0", 20)
	p := &a.endpoints["e0"].stepTime
	for _, tc := range []struct {
		calls  int
		prompt core.Tokens
		want   time.Duration
	}{{1, 0, 8100 * time.Microsecond}, {20, 0, 10 * time.Millisecond}, {60, 0, 14 * time.Millisecond}, {20, 500, 20 * time.Millisecond}, {40, 1000, 32 * time.Millisecond}} {
		t.Run(fmt.Sprintf("%d calls, %d prompt tokens", tc.calls, tc.prompt), func(t *testing.T) {
			is := is.New(t)
			is.True((p.expectedGap(tc.calls, tc.prompt) - tc.want).Abs() < 500*time.Microsecond)
		})
	}
	is := is.New(t)
	e.finish(20)
	p.fit()
	before := p.coefficients
	a.Start(newFastCall("preempted", 10), "e0", 0)
	a.RecordTokens(t0.Add(time.Hour), "preempted", 1)
	a.RecordPreemption("preempted")
	a.RecordTokens(t0.Add(time.Hour+500*time.Millisecond), "preempted", 2)
	a.RecordTokens(t0.Add(time.Hour+20*time.Second), "preempted", 3)
	a.Finish("preempted")
	p.fit()
	is.Equal(p.coefficients, before) // gaps caused by a preemption or a network stall are not steps
}

// Guards against a long prompt that delays many streams although another endpoint has few of them, and against a long
// prompt that never starts.
func TestLongPromptGoesWhereFewCallsRun(t *testing.T) {
	is := is.New(t)
	a := newWithGapTarget(2)
	runToLearn(a, "e0", 30)
	few := runToLearn(a, "e1", 10)
	c := newFastCall("c", 1200)
	ep, ok := a.Choose(&c, 0, nil, true)
	is.True(ok)
	is.Equal(ep, core.EndpointID("e1"))
	a.Start(newFastCall("other", 400), "e1", 0)
	ep, ok = a.Choose(&c, 0, nil, true)
	is.True(!ok) // waits for the other prompt
	is.Equal(ep, core.EndpointID("e1"))
	ep, ok = a.Choose(&c, 0, nil, false)
	is.True(ok)
	is.Equal(ep, core.EndpointID("e0"))
	short := newFastCall("short", 100)
	a.Finish("other")
	few.finish(10)
	ep, ok = a.Choose(&short, 0, nil, true)
	is.True(ok)
	is.Equal(ep, core.EndpointID("e1")) // no streams to delay: the lowest forecast
}

// Guards against a limit that ignores stalls, never grows again, or shuts out an engine that can never meet the target.
func TestStreamLimitFollowsStall(t *testing.T) {
	is := is.New(t)
	const target, most = 31 * time.Millisecond, 64
	m := streamLimit{calls: most}
	now := t0
	run := func(seconds int, gap time.Duration, running int) {
		for end := now.Add(time.Duration(seconds) * time.Second); now.Before(end); {
			now = now.Add(gap)
			for range running {
				m.recordGap(now, gap, target, running, most)
			}
		}
	}
	run(10, 30*time.Millisecond, 40)
	is.Equal(m.calls, most)
	run(5, 32*time.Millisecond, 40)
	is.True(m.calls > minRunning && m.calls < 35)
	run(60, 200*time.Millisecond, 40)
	is.Equal(m.calls, minRunning)
	run(60, 30*time.Millisecond, 8)
	is.Equal(m.calls, most)
}

// Guards against an engine that is too slow for the target and therefore gets no calls at all.
func TestSlowEngineKeepsMinimumCalls(t *testing.T) {
	is := is.New(t)
	a := newWithGapTarget(1)
	e := runToLearn(a, "e0", 30)
	c := newFastCall("c", 10)
	a.SetRules(core.PolicyRules{Ranks: []core.RankRule{{Name: gapRank, TokenGapTarget: 8500 * time.Microsecond}}})
	_, ok := a.Choose(&c, 0, nil, false)
	is.True(!ok)
	e.finish(30 - minRunning + 1)
	_, ok = a.Choose(&c, 0, nil, false)
	is.True(ok)
}

// Guards against urgent calls that are refused because calls with a longer gap target took the slots, and against
// background calls that are kept away from an engine where only urgent streams stall.
func TestStreamLimitIsPerGapTarget(t *testing.T) {
	is := is.New(t)
	const slowRank core.RankName = "slow"
	a := New(length.New())
	a.SetRules(core.PolicyRules{Ranks: []core.RankRule{
		{Name: gapRank, TokenGapTarget: 31 * time.Millisecond}, {Name: slowRank, TokenGapTarget: 62 * time.Millisecond},
	}})
	a.SetRunners(runners(1, 1_000_000))
	for i := range 10 {
		c := newFastCall(fmt.Sprint(i), 10)
		c.Rank = slowRank
		a.Start(c, "e0", 1)
	}
	first := newFastCall("first", 10)
	a.Start(first, "e0", 1)
	e := a.endpoints["e0"]
	fits := func(r core.RankName) bool {
		c := newFastCall("c", 10)
		c.Rank = r
		_, ok := a.Choose(&c, 0, nil, false)
		return ok
	}
	e.findGapTarget(31 * time.Millisecond).limit.calls = 2
	is.True(fits(gapRank))
	is.True(fits(slowRank)) // its own streams don't stall
	e.findGapTarget(62 * time.Millisecond).limit.calls = 10
	is.True(fits(gapRank))
	is.True(!fits(slowRank))
	e.findGapTarget(31 * time.Millisecond).limit.calls = 1
	is.True(!fits(gapRank))
}
