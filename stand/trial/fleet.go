package trial

import (
	"math/rand/v2"

	"snipeshed/stand/batch"
)

// Fleet is the set of simulated engines.
type Fleet struct {
	Engines int
	Config  batch.Config
}

// capacitySamples makes the drawn means accurate to about 2%.
const capacitySamples = 20_000

// usableMemory is the share of an engine's memory that counts as capacity; full memory means preemption.
const usableMemory = 0.9

// demand describes the mean resource use of a mix of classes.
type demand struct {
	output, prompt float64 // tokens per call
	resident       float64 // memory of a running call, averaged over its time
}

func (u *User) demand(classes []class) demand {
	s := &source{user: u, rng: rand.New(rand.NewPCG(1, 1))}
	var d demand
	var area float64
	for range capacitySamples {
		c, n := s.draw(classes, false)
		own := float64(c.PromptTokens - servicePrefix - teamPrefix)
		d.output += float64(n)
		d.prompt += own
		area += float64(n) * (own + float64(n)/2)
	}
	d.resident = area / d.output
	d.output /= capacitySamples
	d.prompt /= capacitySamples
	return d
}

// slots returns how many calls of a mix fill an engine's memory on average.
func (u *User) slots(f Fleet, classes []class) float64 {
	cfg := batch.New(f.Config).Config()
	return min(float64(cfg.MaxRunning), usableMemory*float64(cfg.KVCapacity)/u.demand(classes).resident)
}

// capacity returns the calls per second that the fleet can serve of a mix when every engine is full on average
// and common prefixes are cached; it depends on no policy.
func (u *User) capacity(f Fleet, classes []class) float64 {
	cfg := batch.New(f.Config).Config()
	d, n := u.demand(classes), u.slots(f, classes)
	step := cfg.StepBase.Seconds() + n*cfg.StepPerSequence.Seconds() + n*d.prompt/d.output*cfg.StepPerPromptToken.Seconds()
	return float64(f.Engines) * n / (d.output * step)
}
