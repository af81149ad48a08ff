package cmds

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"snipeshed/stand/scale"
)

func scaleCommand() *cli.Command {
	return &cli.Command{
		Name:        "bench-scale",
		Usage:       "measures the control plane of growing fleets in this process and prints key=value lines",
		Description: "Example: standin bench-scale --largest 64",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "largest", Usage: "instances of the largest fleet to measure", Value: 350, Validator: checkNotNegativeInt},
			&cli.IntSliceFlag{Name: "instances", Usage: "measure only the fleets of these sizes, such as 64,350"},
			&cli.BoolFlag{Name: "polls", Usage: "also measure the polls of owners of 8 to 48 endpoints, which takes 245 s"},
			&cli.DurationFlag{Name: "window", Usage: "time for which each idle fleet is observed", Value: 2 * time.Second, Validator: checkNotNegativeDuration},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return fmt.Errorf("unexpected argument %q; see %s --help", c.Args().First(), c.FullName())
			}
			s := scale.New(c.Root().Writer, c.Duration("window"))
			sizes := c.IntSlice("instances")
			cases := slices.DeleteFunc(scale.Cases(), func(x scale.Case) bool {
				return x.Instances > c.Int("largest") || len(sizes) > 0 && !slices.Contains(sizes, x.Instances)
			})
			if len(cases) == 0 {
				return fmt.Errorf("no fleet matches --instances %v and --largest %d", sizes, c.Int("largest"))
			}
			pollsDone := make(chan error, 1)
			if c.Bool("polls") {
				go func() { pollsDone <- s.RunPolls(ctx) }() // concurrently with the fleets, which take about as long
			} else {
				pollsDone <- nil
			}
			for _, x := range cases {
				if err := s.Run(ctx, x); err != nil {
					return err
				}
			}
			return <-pollsDone
		},
	}
}
