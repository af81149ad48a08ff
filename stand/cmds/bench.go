package cmds

import (
	"context"

	"github.com/urfave/cli/v3"

	"snipeshed/stand/bench"
)

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:        "bench",
		Usage:       "measures what relaying adds to calling a stand-in runner directly",
		Description: "Example: standin bench",
		Action: func(ctx context.Context, c *cli.Command) error {
			return bench.New(c.Root().Writer).Run(ctx)
		},
	}
}
