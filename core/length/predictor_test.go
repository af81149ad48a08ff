package length

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"snipeshed/core"
)

var t0 = time.Unix(1_800_000_000, 0)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20260204")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func observe(p *Predictor, at time.Time, c core.Call, n core.Tokens, times int) {
	for range times {
		p.Observe(at, &c, n)
	}
}

// Guards against estimates that use the wrong histogram, ignore the tokens so far or exceed the call's limit.
func TestExpected(t *testing.T) {
	base := core.Call{Service: "s", Team: "t", Rank: "r", MaxTokens: 10_000}
	other := core.Call{Service: "s", Team: "u", Rank: "r", MaxTokens: 10_000}
	for _, tc := range []struct {
		name      string
		fill      func(p *Predictor)
		call      core.Call
		soFar     core.Tokens
		low, high core.Tokens
	}{
		{"no samples", func(*Predictor) {}, base, 0, unknownLength, unknownLength},
		{"no samples, far along", func(*Predictor) {}, base, 3000, 3000, 3000},
		{"limit", func(*Predictor) {}, base, 9990, 10, 10},
		{"at the limit", func(*Predictor) {}, base, 10_000, 0, 0},
		{"own team", func(p *Predictor) { observe(p, t0, base, 100, 100); observe(p, t0, other, 1000, 500) }, base, 0, 90, 110},
		{"few samples of the team fall back to the rank", func(p *Predictor) { observe(p, t0, base, 100, 2); observe(p, t0, other, 1000, 500) }, base, 0, 900, 1100},
		{"longer than the short samples", func(p *Predictor) { observe(p, t0, base, 10, 900); observe(p, t0, base, 1000, 100) }, base, 50, 850, 1050},
		{"longer than all samples", func(p *Predictor) { observe(p, t0, base, 10, 900) }, base, 600, 270, 330},
		{"old samples lose weight", func(p *Predictor) { observe(p, t0, base, 10, 50); observe(p, t0.Add(2*time.Hour), base, 1000, 50) }, base, 0, 900, 1100},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			p := New()
			tc.fill(p)
			got := p.Expected(&tc.call, tc.soFar)
			is.True(got >= tc.low && got <= tc.high)
		})
	}
}

// Guards against estimates from short calls alone while long calls are still running.
func TestRunningCallsAreCounted(t *testing.T) {
	is := is.New(t)
	p := New()
	c := core.Call{Service: "s", Team: "t", Rank: "r", MaxTokens: 100_000}
	observe(p, t0, c, 10, 100)
	before := p.Expected(&c, 0)
	for range 100 {
		progress := p.StartProgress(t0, &c)
		progress.Advance(t0, 2000) // never reported as ended
	}
	is.True(before < 20)
	is.True(p.Expected(&c, 0) > 1000)
	is.True(p.Expected(&c, 100) > 1900)
}

// Guards against quantiles that are not monotonic and against samples that are lost when the weights are rescaled.
func TestEstimateProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(WithHalfLife(time.Second))
		c := core.Call{Service: "s", MaxTokens: core.Tokens(rapid.IntRange(1, 50_000).Draw(t, "max"))}
		now := t0
		for _, n := range rapid.SliceOfN(rapid.IntRange(1, 60_000), 1, 40).Draw(t, "lengths") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond)
			p.Observe(now, &c, core.Tokens(n))
		}
		soFar := core.Tokens(rapid.IntRange(0, int(c.MaxTokens)).Draw(t, "so far"))
		left := c.MaxTokens - soFar
		e := p.EstimateFor(&c)
		if got := e.Expected(soFar); got < min(1, left) || got > left {
			t.Fatalf("expected %d tokens of %d left", got, left)
		}
		last := core.Tokens(0)
		for _, q := range []float64{0.1, 0.5, 0.9, 0.99} {
			got := p.Quantile(&c, soFar, q)
			if got < last || got > left {
				t.Fatalf("quantile %v is %d after %d, with %d left", q, got, last, left)
			}
			last = got
		}
		if a, b := e.ProbabilityBeyond(soFar, 10), e.ProbabilityBeyond(soFar, 100); a < b || a > 1 || b < 0 {
			t.Fatalf("probability to exceed 10 is %v, 100 is %v", a, b)
		}
		if n := p.histograms[histogramKey{level: 2, service: "s"}].effectiveSamples(); n < 0.99 || n > 41 {
			t.Fatalf("%v samples counted", n)
		}
	})
}
