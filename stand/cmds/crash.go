package cmds

import (
	"context"
	"net"
	"os"

	"github.com/urfave/cli/v3"

	"snipeshed/stand/crash"
)

// inheritedListener is the descriptor of the listener that the process inherits.
const inheritedListener = 3

func crashCommand() *cli.Command {
	return &cli.Command{
		Name:  "crash",
		Usage: "runs a model engine of the edge command that crashes on one part of prompts; it inherits its listener as descriptor 3",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "id", Usage: "id of the engine", Required: true},
			&cli.Int64Flag{Name: "started", Usage: "start of the process in Unix ms", Required: true},
			&cli.StringFlag{Name: "part", Usage: "part of prompts on which the engine crashes", Value: "bad"},
			&cli.StringFlag{Name: "moment", Usage: "before_head, after_head or after_events", Value: crash.AfterHead},
			&cli.BoolFlag{Name: "freeze", Usage: "stop in place of ending"},
			&cli.DurationFlag{Name: "life", Usage: "mean time after which the engine crashes by itself; 0 for never"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			ln, err := net.FileListener(os.NewFile(inheritedListener, "listener"))
			if err != nil {
				return err
			}
			e := &crash.Engine{
				ID: c.String("id"), Started: c.Int64("started"), Part: c.String("part"), Moment: c.String("moment"),
				Freeze: c.Bool("freeze"), Life: c.Duration("life"),
			}
			return e.Serve(ln)
		},
	}
}
