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

// paced returns an Admit with a target of 31 ms.
func paced(endpoints int, opts ...Option) *Admit {
	a := New(length.New(), opts...)
	a.SetRules(core.PolicyRules{Ranks: []core.RankRule{{Name: gapRank, TokenGapTarget: 31 * time.Millisecond}}})
	a.SetRunners(runners(endpoints, 1_000_000))
	return a
}

func fast(id string, prompt core.Tokens) core.Call {
	return core.Call{ID: core.RequestID(id), Rank: gapRank, PromptTokens: prompt, MaxTokens: 100_000}
}

// engine steps one endpoint's calls: 8 ms, 0.1 ms for each call and 20 µs for each prompt token.
type engine struct {
	a     *Admit
	ep    core.EndpointID
	now   time.Time
	calls []core.RequestID
	got   map[core.RequestID]core.Tokens
	n     int
}

// step lets all calls get a token and one more call with a prompt start, if there is a prompt.
func (e *engine) step(prompt core.Tokens) {
	d := 8*time.Millisecond + time.Duration(len(e.calls))*100*time.Microsecond + time.Duration(prompt)*20*time.Microsecond
	if prompt > 0 {
		e.n++
		c := fast(fmt.Sprint(e.ep, "-", e.n), prompt)
		e.a.Start(c, e.ep, 0)
		e.calls = append(e.calls, c.ID)
	}
	e.now = e.now.Add(d)
	for _, id := range e.calls {
		e.got[id]++
		e.a.Token(e.now, id, e.got[id])
	}
}

func (e *engine) finish(n int) {
	for _, id := range e.calls[:n] {
		e.a.Finish(id)
	}
	e.calls = e.calls[n:]
}

// learn runs the endpoint for some seconds and leaves it with n calls.
func learn(a *Admit, ep core.EndpointID, n int) *engine {
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

// Guards against steps whose duration is learned wrongly, so that prompts stall streams or wait for nothing.
func TestPaceLearnsSteps(t *testing.T) {
	a := paced(1)
	e := learn(a, "e0", 20)
	p := &a.ends["e0"].pace
	for _, tc := range []struct {
		calls  int
		prompt core.Tokens
		want   time.Duration
	}{{1, 0, 8100 * time.Microsecond}, {20, 0, 10 * time.Millisecond}, {60, 0, 14 * time.Millisecond}, {20, 500, 20 * time.Millisecond}, {40, 1000, 32 * time.Millisecond}} {
		t.Run(fmt.Sprintf("%d calls, %d prompt tokens", tc.calls, tc.prompt), func(t *testing.T) {
			is := is.New(t)
			is.True((p.gap(tc.calls, tc.prompt) - tc.want).Abs() < 500*time.Microsecond)
		})
	}
	is := is.New(t)
	e.finish(20)
	p.fit()
	before := p.coef
	a.Start(fast("preempted", 10), "e0", 0)
	a.Token(t0.Add(time.Hour), "preempted", 1)
	a.Preempted("preempted")
	a.Token(t0.Add(time.Hour+500*time.Millisecond), "preempted", 2)
	a.Token(t0.Add(time.Hour+20*time.Second), "preempted", 3)
	a.Finish("preempted")
	p.fit()
	is.Equal(p.coef, before) // a preemption or a silent link is no step
}

// Guards against a long prompt that delays many streams while an endpoint with few of them is there, and against one
// that never starts.
func TestLongPromptGoesWhereFewCallsRun(t *testing.T) {
	is := is.New(t)
	a := paced(2)
	learn(a, "e0", 30)
	few := learn(a, "e1", 10)
	c := fast("c", 1200)
	ep, ok := a.Choose(&c, 0, nil, true)
	is.True(ok)
	is.Equal(ep, core.EndpointID("e1"))
	a.Start(fast("other", 400), "e1", 0)
	ep, ok = a.Choose(&c, 0, nil, true)
	is.True(!ok) // waits for the other prompt
	is.Equal(ep, core.EndpointID("e1"))
	ep, ok = a.Choose(&c, 0, nil, false)
	is.True(ok)
	is.Equal(ep, core.EndpointID("e0"))
	short := fast("short", 100)
	a.Finish("other")
	few.finish(10)
	ep, ok = a.Choose(&short, 0, nil, true)
	is.True(ok)
	is.Equal(ep, core.EndpointID("e1")) // no streams to delay: the lowest forecast
}

// Guards against a limit that ignores stall, never grows again, or closes an engine that cannot meet the target at all.
func TestRoomFollowsStall(t *testing.T) {
	is := is.New(t)
	const target, most = 31 * time.Millisecond, 64
	m := runningLimit{calls: most}
	now := t0
	run := func(seconds int, gap time.Duration, running int) {
		for end := now.Add(time.Duration(seconds) * time.Second); now.Before(end); {
			now = now.Add(gap)
			for range running {
				m.add(now, gap, target, running, most)
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

// Guards against an engine that is too slow for the target and gets no calls, or runs empty.
func TestCrowdedLeavesMinimum(t *testing.T) {
	is := is.New(t)
	a := paced(1)
	e := learn(a, "e0", 30)
	c := fast("c", 10)
	a.SetRules(core.PolicyRules{Ranks: []core.RankRule{{Name: gapRank, TokenGapTarget: 8500 * time.Microsecond}}})
	_, ok := a.Choose(&c, 0, nil, false)
	is.True(!ok)
	e.finish(30 - minRunning + 1)
	_, ok = a.Choose(&c, 0, nil, false)
	is.True(ok)
}

// Guards against urgent calls that are refused because calls with a longer gap target took the places, and against
// background calls kept from an engine where only urgent streams stall.
func TestRoomIsCountedByTarget(t *testing.T) {
	is := is.New(t)
	const slowRank core.RankName = "slow"
	a := New(length.New())
	a.SetRules(core.PolicyRules{Ranks: []core.RankRule{
		{Name: gapRank, TokenGapTarget: 31 * time.Millisecond}, {Name: slowRank, TokenGapTarget: 62 * time.Millisecond},
	}})
	a.SetRunners(runners(1, 1_000_000))
	for i := range 10 {
		c := fast(fmt.Sprint(i), 10)
		c.Rank = slowRank
		a.Start(c, "e0", 1)
	}
	first := fast("first", 10)
	a.Start(first, "e0", 1)
	e := a.ends["e0"]
	fits := func(r core.RankName) bool {
		c := fast("c", 10)
		c.Rank = r
		_, ok := a.Choose(&c, 0, nil, false)
		return ok
	}
	e.target(31 * time.Millisecond).limit.calls = 2
	is.True(fits(gapRank))
	is.True(fits(slowRank)) // its own streams don't stall
	e.target(62 * time.Millisecond).limit.calls = 10
	is.True(fits(gapRank))
	is.True(!fits(slowRank))
	e.target(31 * time.Millisecond).limit.calls = 1
	is.True(!fits(gapRank))
}
