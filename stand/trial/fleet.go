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

func (w *Workload) demand(classes []workClass) meanDemand {
	s := &callSource{workload: w, rng: rand.New(rand.NewPCG(1, 1))}
	var d meanDemand
	var memoryTime float64 // sum over the calls of mean memory times running time, in tokens times decode steps
	for range capacitySamples {
		c, n := s.draw(classes, false)
		ownPromptTokens := float64(c.PromptTokens - servicePrefixTokens - teamPrefixTokens)
		d.outputTokens += float64(n)
		d.promptTokens += ownPromptTokens
		memoryTime += float64(n) * (ownPromptTokens + float64(n)/2)
	}
	d.memoryTokens = memoryTime / d.outputTokens
	d.outputTokens /= capacitySamples
	d.promptTokens /= capacitySamples
	return d
}

// slotsPerEngine returns how many concurrent calls of a mix fill an engine's memory on average.
func (w *Workload) slotsPerEngine(f Fleet, classes []workClass) float64 {
	cfg := batch.New(f.Config).Config()
	return min(float64(cfg.MaxRunning), usableMemoryShare*float64(cfg.KVCapacity)/w.demand(classes).memoryTokens)
}

// callsPerSecond returns the fleet's capacity in calls of a mix per second, with all engines full and common prefixes
// cached. It does not depend on the policy.
func (w *Workload) callsPerSecond(f Fleet, classes []workClass) float64 {
	cfg := batch.New(f.Config).Config()
	d, n := w.demand(classes), w.slotsPerEngine(f, classes)
	step := cfg.StepBase.Seconds() + n*cfg.StepPerSequence.Seconds() + n*d.promptTokens/d.outputTokens*cfg.StepPerPromptToken.Seconds()
	return float64(f.Engines) * n / (d.outputTokens * step)
}
