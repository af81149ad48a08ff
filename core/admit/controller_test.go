package admit

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"snipeshed/core"
	"snipeshed/core/length"
)

var t0 = time.Unix(1_800_000_000, 0)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20260204")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func runners(n int, kv core.Tokens) []core.RunnerInfo {
	var out []core.RunnerInfo
	for i := range n {
		out = append(out, core.RunnerInfo{ID: core.EndpointID(fmt.Sprintf("e%d", i)), KVCapacity: kv, Accepting: true})
	}
	return out
}

func call(id string, prompt core.Tokens, prefixes ...uint64) core.Call {
	return core.Call{ID: core.RequestID(id), PromptTokens: prompt, MaxTokens: 100, Prefixes: prefixes}
}

// Guards against choices that ignore the prefix cache, load, headroom or availability of endpoints.
func TestChoose(t *testing.T) {
	for _, tc := range []struct {
		name  string
		setup func(ctrl *Controller, rs []core.RunnerInfo)
		call  core.Call
		held  []core.EndpointID
		want  core.EndpointID
		fits  bool
	}{
		{"lowest forecast", func(ctrl *Controller, _ []core.RunnerInfo) { ctrl.Start(call("x", 500), "e0", 0) }, call("c", 100), nil, "e1", true},
		{"cached prefix within the slack", func(ctrl *Controller, _ []core.RunnerInfo) {
			ctrl.Start(call("x", 100, 1, 2), "e0", 0)
		}, call("c", 100, 1, 2, 3), nil, "e0", true},
		{"cached prefix beyond the slack", func(ctrl *Controller, _ []core.RunnerInfo) {
			ctrl.Start(call("x", 100, 1, 2), "e0", 0)
			ctrl.Start(call("y", 200), "e0", 0)
		}, call("c", 100, 1, 2, 3), nil, "e1", true},
		{"cache of a finished call counts", func(ctrl *Controller, _ []core.RunnerInfo) {
			ctrl.Start(call("x", 100, 1, 2), "e1", 0)
			ctrl.Finish("x")
		}, call("c", 100, 1, 2, 3), nil, "e1", true},
		{"held endpoint", func(*Controller, []core.RunnerInfo) {}, call("c", 100), []core.EndpointID{"e0"}, "e1", true},
		{"leaving endpoint", func(ctrl *Controller, rs []core.RunnerInfo) { rs[0].Accepting = false; ctrl.SetRunners(rs) }, call("c", 100), nil, "e1", true},
		{"avoided endpoint", func(*Controller, []core.RunnerInfo) {}, core.Call{ID: "c", PromptTokens: 1, Avoid: []core.EndpointID{"e0"}}, nil, "e1", true},
		{"all avoided", func(*Controller, []core.RunnerInfo) {}, core.Call{ID: "c", PromptTokens: 1, Avoid: []core.EndpointID{"e0", "e1"}}, nil, "e0", true},
		{"full", func(ctrl *Controller, _ []core.RunnerInfo) {
			ctrl.Start(call("x", 700), "e0", 0)
			ctrl.Start(call("y", 600), "e1", 0)
		}, call("c", 150), nil, "e1", false},
		{"an empty endpoint takes what fits its memory", func(ctrl *Controller, _ []core.RunnerInfo) {
			ctrl.Start(call("x", 100), "e0", 0)
		}, call("c", 950), nil, "e1", true},
		{"larger than any endpoint", func(*Controller, []core.RunnerInfo) {}, call("c", 1000), nil, "", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			ctrl := New(length.New(), WithPromptLimit(1000))
			rs := runners(2, 1000)
			ctrl.SetRunners(rs)
			tc.setup(ctrl, rs)
			ep, fits := ctrl.Choose(&tc.call, 0, tc.held, false)
			is.Equal(ep, tc.want)
			is.Equal(fits, tc.fits)
		})
	}
}

// Guards against several new prompts in one step, which delay every stream of the endpoint, and against a prompt larger
// than the limit that never starts.
func TestPromptLimit(t *testing.T) {
	is := is.New(t)
	ctrl := New(length.New(), WithPromptLimit(300))
	ctrl.SetRunners(runners(1, 10_000))
	fits := func(c core.Call) bool {
		_, ok := ctrl.Choose(&c, 0, nil, false)
		return ok
	}
	is.True(fits(call("large", 2000)))
	ctrl.Start(call("1", 200, 1, 2, 3, 4, 5, 6), "e0", 0)
	is.True(!fits(call("2", 200)))
	is.True(fits(call("3", 150, 1, 2, 3, 4, 5, 6))) // 96 tokens are cached
	ctrl.RecordCached("1", 96)
	is.True(fits(call("2", 190)))
	ctrl.RecordTokens(t0, "1", 1)
	is.True(fits(call("large", 2000)))
	ctrl.Start(call("4", 300), "e0", 0)
	ctrl.Finish("4") // ended before its first token
	is.True(fits(call("2", 200)))
	ctrl.Start(call("5", 300), "e0", 10) // adopted calls have computed their prompts
	is.True(fits(call("2", 200)))
}

// Guards against the memory of shared prefixes being counted per call, or not at all once the first call has ended.
func TestSharedPrefixIsCountedOnce(t *testing.T) {
	is := is.New(t)
	ctrl := New(length.New())
	ctrl.SetRunners(runners(1, 10_000))
	for i := range 3 {
		ctrl.Start(call(fmt.Sprint(i), 100, 1, 2), "e0", 0)
	}
	is.Equal(ctrl.endpoints["e0"].heldTokens, core.Tokens(300)) // nothing is known to be shared
	ctrl.RecordCached("1", 32)
	ctrl.RecordCached("2", 32)
	is.Equal(ctrl.endpoints["e0"].heldTokens, core.Tokens(100+2*68+32))
	ctrl.Finish("0")
	ctrl.Finish("1")
	is.Equal(ctrl.endpoints["e0"].heldTokens, core.Tokens(100))
	ctrl.Finish("2")
	is.Equal(ctrl.endpoints["e0"].heldTokens, core.Tokens(0))
}

// Guards against a forecast below the memory in use, and against running totals that differ from the sum over the calls.
func TestForecastIsNeverBelowCurrentMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := length.New()
		ctrl := New(l)
		ctrl.SetRunners(runners(2, 50_000))
		live := map[core.RequestID]core.Tokens{}
		n := 0
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				n++
				c := core.Call{ID: core.RequestID(fmt.Sprint(n)), Team: "t", PromptTokens: core.Tokens(rapid.IntRange(64, 2000).Draw(t, "prompt"))}
				c.Prefixes = []uint64{1, 2, 3, 4}[:rapid.IntRange(0, 4).Draw(t, "prefixes")]
				ctrl.Start(c, core.EndpointID(fmt.Sprintf("e%d", n%2)), 0)
				live[c.ID] = 0
			},
			"token": func(t *rapid.T) {
				for id := range live {
					live[id] += core.Tokens(rapid.IntRange(0, 300).Draw(t, "tokens"))
					ctrl.RecordTokens(t0, id, live[id])
				}
			},
			"cached": func(t *rapid.T) {
				for id := range live {
					ctrl.RecordCached(id, 16*core.Tokens(rapid.IntRange(0, 4).Draw(t, "blocks")))
				}
			},
			"finish": func(t *rapid.T) {
				for id, tokens := range live {
					if rapid.Bool().Draw(t, "ends") {
						l.Observe(t0, &core.Call{}, tokens)
						ctrl.Finish(id)
						delete(live, id)
					}
				}
			},
			"": func(t *rapid.T) {
				var team core.Tokens
				for _, e := range ctrl.current {
					held := e.sharedTokens()
					for _, r := range e.running {
						held += e.privateTokens(r)
						team += r.call.PromptTokens + r.generated
					}
					if e.heldTokens != held {
						t.Fatalf("%s holds %d by its sum and %d by its calls", e.info.ID, e.heldTokens, held)
					}
					if f := ctrl.Forecast(e.info.ID); f < held {
						t.Fatalf("%s has forecast %d and holds %d", e.info.ID, f, held)
					}
				}
				if ctrl.TeamTokens("t") != team {
					t.Fatalf("team holds %d by its sum and %d by its calls", ctrl.TeamTokens("t"), team)
				}
			},
		})
	})
}

// Guards against short calls that are held back for memory that longer calls need only after the short ones have ended.
func TestShortCallEndsBeforeThePeak(t *testing.T) {
	is := is.New(t)
	l := length.New(length.WithMinSamples(1))
	short, long := core.Call{ID: "short", Service: "short", PromptTokens: 100}, core.Call{ID: "long", Service: "long", PromptTokens: 100}
	for range 200 {
		l.Observe(t0, &short, 4)
		l.Observe(t0, &long, 1000)
	}
	ctrl := New(l)
	ctrl.SetRunners(runners(1, 2000))
	for _, id := range []core.RequestID{"1", "2"} {
		c := long
		c.ID = id
		ctrl.Start(c, "e0", 500) // both are expected to end with 1,100 tokens of memory
	}
	is.True(ctrl.Forecast("e0") > 2000)
	_, ok := ctrl.Choose(&short, 0, nil, false)
	is.True(ok)
	_, ok = ctrl.Choose(&long, 0, nil, false)
	is.True(!ok)
	short.PromptTokens = 700 // does not fit into the memory that is free now
	_, ok = ctrl.Choose(&short, 0, nil, false)
	is.True(!ok)
}

// Guards against preemptions: a call of a lower rank must not start if a later peak reaches into the reserve, because it
// may run longer than expected and last until that peak.
func TestLowerRankKeepsReserveAtLaterPeak(t *testing.T) {
	is := is.New(t)
	l := length.New(length.WithMinSamples(1))
	short, long := core.Call{ID: "short", Service: "short", PromptTokens: 100}, core.Call{ID: "long", Service: "long", PromptTokens: 100}
	for range 200 {
		l.Observe(t0, &short, 4)
		l.Observe(t0, &long, 1000)
	}
	ctrl := New(l)
	ctrl.SetRunners(runners(1, 2000))
	for _, id := range []core.RequestID{"1", "2"} {
		c := long
		c.ID = id
		ctrl.Start(c, "e0", 500)
	}
	_, ok := ctrl.Choose(&short, 8, nil, false)
	is.True(!ok)
	ctrl.Finish("2")
	_, ok = ctrl.Choose(&short, 8, nil, false)
	is.True(ok)

	const reserve = 8
	ctrl.SetRunners(runners(1, ctrl.Forecast("e0")*percent/(defaultHeadroomPercent-reserve/2))) // the later peak reaches into the reserve
	_, ok = ctrl.Choose(&short, 0, nil, false)
	is.True(ok)
	_, ok = ctrl.Choose(&short, reserve, nil, false)
	is.True(!ok)
}
