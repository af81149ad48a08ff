package cmds

import (
	"context"
	"fmt"
	"os"
	"runtime/pprof"

	"github.com/urfave/cli/v3"

	"snipeshed/stand/bench"
)

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:        "bench",
		Usage:       "measures what proxying adds to direct calls of a simulated model runner",
		Description: "Example: standin bench --cpu-profile cpu.out",
		Flags:       []cli.Flag{&cli.StringFlag{Name: "cpu-profile", Usage: "write a CPU profile of the whole process to this file"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			if path := c.String("cpu-profile"); path != "" {
				stop, err := startProfile(path)
				if err != nil {
					return err
				}
				defer stop()
			}
			return bench.New(c.Root().Writer).Run(ctx)
		},
	}
}

func startProfile(path string) (stop func(), err error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create profile: %w", err)
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, fmt.Errorf("start profile: %w", err)
	}
	return func() {
		pprof.StopCPUProfile()
		_ = f.Close() // StopCPUProfile has written the profile
	}, nil
}
