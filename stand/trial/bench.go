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
	// parallelRuns leaves cores to other work on the machine that the figures are from.
	parallelRuns = 4
	engines      = 5
	// baselineQueue gives the baselines the same room as two ranks have.
	baselineQueue = 512
)

type scenario struct {
	name   string
	phases []phase
	// floods are the indexes of phases that are floods.
	floods []int
}

func scenarios() []scenario {
	const length = 240 * time.Second
	flood := func(r core.RankName) scenario {
		return scenario{name: "flood-" + string(r), floods: []int{1}, phases: []phase{
			{to: length, load: 0.5}, {from: 60 * time.Second, to: 180 * time.Second, load: 2, rank: r},
		}}
	}
	return []scenario{
		{name: "half", phases: []phase{{to: length, load: 0.5}}},
		{name: "nine-tenths", phases: []phase{{to: length, load: 0.9}}},
		{name: "twice", phases: []phase{{to: length, load: 2}}},
		flood(background),
		flood(urgent),
	}
}

// policies returns a new policy by name.
func newPolicy(name string, u *User, f Fleet) core.Policy {
	slots := int(u.slots(f, u.classes))
	switch name {
	case "fifo":
		return fifo.New(fifo.WithRunningLimit(slots), fifo.WithQueueLimit(baselineQueue))
	case "least":
		return least.New(fifo.WithRunningLimit(slots), fifo.WithQueueLimit(baselineQueue))
	}
	return queue.New()
}

// Plan says what Bench runs.
type Plan struct {
	// Seed draws the traces; it is the same for all policies of a scenario.
	Seed uint64
	// Policies are names among fifo, least and queue.
	Policies []string
	// Scenarios are names of scenarios; all when empty. Scores are means over those that ran.
	Scenarios []string
}

// DefaultPlan runs all policies.
func DefaultPlan() Plan { return Plan{Seed: 20260204, Policies: []string{"fifo", "least", "queue"}} }

type result struct {
	user     *User
	scenario scenario
	policy   string
	meter    *meter
	took     time.Duration
}

// Bench runs every scenario with every policy and writes a line for each and the scores.
func Bench(ctx context.Context, out io.Writer, plan Plan) error {
	f := Fleet{Engines: engines, Config: batch.Config{}}
	users := Users()
	var results []*result
	for i := range users {
		for _, sc := range scenarios() {
			if len(plan.Scenarios) > 0 && !slices.Contains(plan.Scenarios, sc.name) {
				continue
			}
			for _, p := range plan.Policies {
				results = append(results, &result{user: &users[i], scenario: sc, policy: p})
			}
		}
	}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(parallelRuns)
	for _, r := range results {
		g.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			from := time.Now()
			trace := r.user.trace(plan.Seed, f, r.scenario.phases)
			m, err := run(newPolicy(r.policy, r.user, f), r.user, f, trace, r.scenario.phases)
			if err != nil {
				return fmt.Errorf("trace %s, scenario %s, policy %s: %w", r.user.Name, r.scenario.name, r.policy, err)
			}
			r.meter, r.took = m, time.Since(from)
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	for _, r := range results {
		fmt.Fprintln(out, r.line())
	}
	for _, u := range users {
		for _, p := range plan.Policies {
			fmt.Fprintln(out, score(&u, p, results))
		}
	}
	return nil
}
