package trial

import (
	"math/rand/v2"

	"snipeshed/stand/batch"
)

// Fleet is a set of identical simulated engines.
type Fleet struct {
	Engines int
	Config  batch.Config
}

// capacitySamples is the number of drawn calls, which makes the means accurate to about 2%.
const capacitySamples = 20_000

// usableMemoryShare is the share of an engine's memory that counts as capacity. It is below 1 because an engine with full
// memory preempts.
const usableMemoryShare = 0.9

// meanDemand describes the mean resource use of a mix of classes.
type meanDemand struct {
	outputTokens, promptTokens float64 // tokens per call
	memoryTokens               float64 // mean memory of a running call, weighted by its running time
}

func (u *User) demand(classes []workClass) meanDemand {
	s := &callSource{user: u, rng: rand.New(rand.NewPCG(1, 1))}
	var d meanDemand
	var area float64
	for range capacitySamples {
		c, n := s.draw(classes, false)
		own := float64(c.PromptTokens - servicePrefix - teamPrefix)
		d.outputTokens += float64(n)
		d.promptTokens += own
		area += float64(n) * (own + float64(n)/2)
	}
	d.memoryTokens = area / d.outputTokens
	d.outputTokens /= capacitySamples
	d.promptTokens /= capacitySamples
	return d
}

// slotsPerEngine returns how many concurrent calls of a mix fill an engine's memory on average.
func (u *User) slotsPerEngine(f Fleet, classes []workClass) float64 {
	cfg := batch.New(f.Config).Config()
	return min(float64(cfg.MaxRunning), usableMemoryShare*float64(cfg.KVCapacity)/u.demand(classes).memoryTokens)
}

// callsPerSecond returns the fleet's capacity in calls of a mix per second, with all engines full and common prefixes
// cached. It does not depend on the policy.
func (u *User) callsPerSecond(f Fleet, classes []workClass) float64 {
	cfg := batch.New(f.Config).Config()
	d, n := u.demand(classes), u.slotsPerEngine(f, classes)
	step := cfg.StepBase.Seconds() + n*cfg.StepPerSequence.Seconds() + n*d.promptTokens/d.outputTokens*cfg.StepPerPromptToken.Seconds()
	return float64(f.Engines) * n / (d.outputTokens * step)
}
