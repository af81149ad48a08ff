package cmds

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"snipeshed/cmds/root"
)

// server is implemented by each stand-in (simulated service).
type server interface {
	Start() error
	URL() string
	Close() error
}

// serve runs a stand-in until the context ends, as it does when the command is interrupted.
func serve(ctx context.Context, c *cli.Command, s server) error {
	if c.Args().Present() {
		return root.UsageError(c, fmt.Sprintf("unexpected argument %q", c.Args().First()))
	}
	if err := s.Start(); err != nil {
		return err
	}
	fmt.Fprintf(c.Root().Writer, "%s listens on %s\n", c.Name, s.URL())
	<-ctx.Done()
	return s.Close()
}

func addressFlag() cli.Flag {
	return &cli.StringFlag{Name: "address", Usage: "address to listen on; port 0 takes a free one", Value: "127.0.0.1:0"}
}

func checkNotNegative(v float64) error {
	if v < 0 {
		return fmt.Errorf("%v is negative", v)
	}
	return nil
}

func checkNotNegativeInt(v int) error { return checkNotNegative(float64(v)) }

func checkNotNegativeInt64(v int64) error { return checkNotNegative(float64(v)) }

func checkNotNegativeDuration(v time.Duration) error {
	if v < 0 {
		return fmt.Errorf("%v is negative", v)
	}
	return nil
}
