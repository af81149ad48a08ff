package cmds

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"snipeshed/stand/objs"
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "runs a simulated platform: the object API and the instance list",
		Description: `Example: standin platform --address 127.0.0.1:7000 --list-lag 2s

Admin calls: GET /admin/counts; POST /admin/outage?mode=none|refuse|hang,
/admin/slow?ms=n, /admin/lose_answers?count=n&prefix=p, and /admin/instances
with {"id","address","failure_domain","kind","state"}.`,
		Flags: []cli.Flag{
			addressFlag(),
			&cli.FloatFlag{Name: "reads", Usage: "limit of reads per second, 0 for no limit", Value: 2000, Validator: checkNotNegative},
			&cli.FloatFlag{Name: "writes", Usage: "limit of writes per second, 0 for no limit", Value: 300, Validator: checkNotNegative},
			&cli.DurationFlag{Name: "delay", Usage: "duration of each call", Value: time.Millisecond, Validator: checkNotNegativeDuration},
			&cli.DurationFlag{Name: "list-lag", Usage: "delay until a change appears in the instance list", Value: time.Second, Validator: checkNotNegativeDuration},
			&cli.IntFlag{Name: "history", Usage: "number of past changes from which a watch can start", Value: 10_000, Validator: checkNotNegativeInt},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve(ctx, c, objs.New(
				objs.WithAddr(c.String("address")),
				objs.WithRates(c.Float("reads"), c.Float("writes")),
				objs.WithDelay(c.Duration("delay")),
				objs.WithListLag(c.Duration("list-lag")),
				objs.WithHistory(c.Int("history")),
			))
		},
	}
}
