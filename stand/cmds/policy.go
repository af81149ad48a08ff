package cmds

import (
	"context"

	"github.com/urfave/cli/v3"

	"snipeshed/stand/trial"
)

func policyCommand() *cli.Command {
	return &cli.Command{
		Name:        "bench-policy",
		Usage:       "measures the policies in virtual time against simulated engines",
		Description: "Example: standin bench-policy",
		Action: func(ctx context.Context, c *cli.Command) error {
			return trial.Bench(ctx, c.Root().Writer)
		},
	}
}
