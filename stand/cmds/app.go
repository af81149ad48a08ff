package cmds

import (
	"context"

	"github.com/urfave/cli/v3"

	"snipeshed/stand/apprun"
)

func appCommand() *cli.Command {
	return &cli.Command{
		Name:  "app",
		Usage: "runs a simulated application runner, which counts its runs",
		Description: `Example: standin app --address 127.0.0.1:7201 --delay 20ms --check-fencing=false

Admin calls: GET /admin/counts; POST /admin/refuse?on=true|false,
/admin/slow?ms=n and /admin/lose_answers?count=n.`,
		Flags: []cli.Flag{
			addressFlag(),
			&cli.DurationFlag{Name: "delay", Usage: "duration of each call", Validator: checkNotNegativeDuration},
			&cli.BoolFlag{Name: "check-fencing", Usage: "reject calls whose fencing number is lower than the highest one of their key; =false ignores the numbers", Value: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve(ctx, c, apprun.New(
				apprun.WithAddr(c.String("address")),
				apprun.WithDelay(c.Duration("delay")),
				apprun.WithFencingCheck(c.Bool("check-fencing")),
			))
		},
	}
}
