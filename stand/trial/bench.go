package trial

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"snipeshed/core"
	"snipeshed/core/fifo"
	"snipeshed/core/least"
	"snipeshed/core/queue"
	"snipeshed/stand/batch"
)

const (
	// parallelRuns limits the concurrent runs, so that cores stay free for other work on the machine.
	parallelRuns = 4
	engineCount  = 5
	// baselineQueueLimit gives the baseline policies as much queue space as the queue policy has for two ranks.
	baselineQueueLimit = 512 // calls
)

type scenario struct {
	name   string
	phases []phase
	// floods are the indexes of the phases in which one rank exceeds the fleet's capacity.
	floods []int
}

func scenarios() []scenario {
	const scenarioDuration = 240 * time.Second
	flood := func(r core.RankName) scenario {
		return scenario{name: "flood-" + string(r), floods: []int{1}, phases: []phase{
			{to: scenarioDuration, loadFactor: 0.5}, {from: 60 * time.Second, to: 180 * time.Second, loadFactor: 2, rank: r},
		}}
	}
	return []scenario{
		{name: "half", phases: []phase{{to: scenarioDuration, loadFactor: 0.5}}},
		{name: "nine-tenths", phases: []phase{{to: scenarioDuration, loadFactor: 0.9}}},
		{name: "twice", phases: []phase{{to: scenarioDuration, loadFactor: 2}}},
		flood(background),
		flood(urgent),
	}
}

// newPolicy returns a new policy by name.
func newPolicy(name string, w *Workload, f Fleet) core.Policy {
	slots := int(w.slotsPerEngine(f, w.classes))
	switch name {
	case "fifo":
		return fifo.New(fifo.WithRunningLimit(slots), fifo.WithQueueLimit(baselineQueueLimit))
	case "least":
		return least.New(fifo.WithRunningLimit(slots), fifo.WithQueueLimit(baselineQueueLimit))
	}
	return queue.New()
}

// Plan selects what Bench runs.
type Plan struct {
	// Seed seeds the traces, so that all policies of a scenario get the same trace.
	Seed uint64
	// Policies are names of policies: fifo, least, queue.
	Policies []string
	// Scenarios are names of scenarios; empty means all. Scores are means over those that ran.
	Scenarios []string
}

// DefaultPlan returns a plan with all policies and scenarios.
func DefaultPlan() Plan { return Plan{Seed: 20260204, Policies: []string{"fifo", "least", "queue"}} }

type policyRun struct {
	workload *Workload
	scenario scenario
	policy   string
	meter    *meter
	duration time.Duration
}

// Bench runs every scenario with every policy. It writes a line of measurements for each run and a score for each workload
// and policy.
func Bench(ctx context.Context, out io.Writer, plan Plan) error {
	f := Fleet{Engines: engineCount, Config: batch.Config{}}
	workloads := Workloads()
	var runs []*policyRun
	for i := range workloads {
		for _, sc := range scenarios() {
			if len(plan.Scenarios) > 0 && !slices.Contains(plan.Scenarios, sc.name) {
				continue
			}
			for _, p := range plan.Policies {
				runs = append(runs, &policyRun{workload: &workloads[i], scenario: sc, policy: p})
			}
		}
	}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(parallelRuns)
	for _, r := range runs {
		g.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			began := time.Now()
			trace := r.workload.newTrace(plan.Seed, f, r.scenario.phases)
			m, err := simulate(newPolicy(r.policy, r.workload, f), r.workload, f, trace, r.scenario.phases)
			if err != nil {
				return fmt.Errorf("trace %s, scenario %s, policy %s: %w", r.workload.Name, r.scenario.name, r.policy, err)
			}
			r.meter, r.duration = m, time.Since(began)
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	for _, r := range runs {
		fmt.Fprintln(out, r.formatLine())
	}
	for _, w := range workloads {
		for _, p := range plan.Policies {
			fmt.Fprintln(out, formatScore(&w, p, runs))
		}
	}
	return nil
}
