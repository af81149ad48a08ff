package cmds

import (
	"context"
	"errors"
	"time"

	"github.com/urfave/cli/v3"

	"snipeshed/core"
	"snipeshed/stand/batch"
	"snipeshed/stand/runner"
)

func runnerCommand() *cli.Command {
	return &cli.Command{
		Name:  "runner",
		Usage: "runs a model runner on a simulated engine",
		Description: `Example: standin runner --address 127.0.0.1:7101 --model tallinn-8b --kv-capacity 40000 --speed 4

Admin calls: GET /admin/state; POST /admin/kill_streams, /admin/reset,
/admin/leaving?on=true|false and
/admin/freeze?scope=engine|streams|all&on=true|false.
A prompt with [output=120] gets 120 tokens; otherwise the seed decides.`,
		Flags: []cli.Flag{
			addressFlag(),
			&cli.StringFlag{Name: "model", Usage: "model that is loaded at the start; if empty, an order has to load one"},
			&cli.StringFlag{Name: "model-version", Usage: "version of the model", Value: "1"},
			&cli.StringFlag{Name: "role", Usage: "role of the runner at the start", Value: "generate"},
			&cli.FloatFlag{Name: "speed", Usage: "factor by which the engine is faster than by default", Value: 1, Validator: func(v float64) error {
				if v <= 0 {
					return errors.New("the speed must be positive")
				}
				return nil
			}},
			&cli.Int64Flag{Name: "kv-capacity", Usage: "KV memory in tokens", Value: 100_000, Validator: checkNotNegativeInt64},
			&cli.Int64Flag{Name: "cache", Usage: "limit of idle cached prompt tokens; 0 for half of the memory, -1 for no cache"},
			&cli.IntFlag{Name: "max-running", Usage: "maximum number of sequences in one step", Value: 64, Validator: checkNotNegativeInt},
			&cli.BoolFlag{Name: "preempt-for-urgent", Usage: "preempt running calls for waiting calls that are more urgent"},
			&cli.DurationFlag{Name: "load-lag", Usage: "age of the state that load reports show", Value: 500 * time.Millisecond, Validator: checkNotNegativeDuration},
			&cli.DurationFlag{Name: "cache-lag", Usage: "delay of cache events", Value: 200 * time.Millisecond, Validator: checkNotNegativeDuration},
			&cli.IntFlag{Name: "cache-drop", Usage: "drop every nth cache event, 0 for none", Validator: checkNotNegativeInt},
			&cli.DurationFlag{Name: "load-time", Usage: "time to load a model", Value: time.Second, Validator: checkNotNegativeDuration},
			&cli.DurationFlag{Name: "keep", Usage: "time for which a generation can be resumed after it ended", Value: 10 * time.Second, Validator: checkNotNegativeDuration},
			&cli.BoolFlag{Name: "check-orders", Usage: "reject orders whose number is lower than that of an earlier one; =false ignores the numbers", Value: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve(ctx, c, runner.New(
				runner.WithAddr(c.String("address")),
				runner.WithModel(core.ModelName(c.String("model")), c.String("model-version")),
				runner.WithRole(c.String("role")),
				runner.WithSpeed(c.Float("speed")),
				runner.WithBatch(batch.Config{
					KVCapacity:       core.Tokens(c.Int64("kv-capacity")),
					CacheTokens:      core.Tokens(c.Int64("cache")),
					MaxRunning:       c.Int("max-running"),
					PreemptForUrgent: c.Bool("preempt-for-urgent"),
				}),
				runner.WithLoadLag(c.Duration("load-lag")),
				runner.WithCacheEvents(c.Duration("cache-lag"), c.Int("cache-drop")),
				runner.WithLoadTime(c.Duration("load-time")),
				runner.WithRetention(c.Duration("keep")),
				runner.WithOrderCheck(c.Bool("check-orders")),
			))
		},
	}
}
