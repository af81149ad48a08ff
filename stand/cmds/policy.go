package cmds

import (
	"context"

	"github.com/urfave/cli/v3"

	"snipeshed/stand/trial"
)

func policyCommand() *cli.Command {
	return &cli.Command{
		Name:        "bench-policy",
		Usage:       "measures the scheduling policies in virtual time against simulated engines",
		Description: "Example: standin bench-policy",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "random seed of the request traces", Value: trial.DefaultPlan().Seed},
			&cli.StringSliceFlag{Name: "policies", Usage: "policies to run", Value: trial.DefaultPlan().Policies},
			&cli.StringSliceFlag{Name: "scenarios", Usage: "scenarios to run; default all"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return trial.Bench(ctx, c.Root().Writer, trial.Plan{Seed: c.Uint64("seed"), Policies: c.StringSlice("policies"), Scenarios: c.StringSlice("scenarios")})
		},
	}
}
