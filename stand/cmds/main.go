package cmds

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &cli.Command{
		Name:           "standin",
		Usage:          "runs stand-ins, the demo and the benchmarks",
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   usageError,
		Action:         rootAction,
		Commands:       []*cli.Command{platformCommand(), runnerCommand(), appCommand(), demoCommand(), benchCommand(), policyCommand(), scaleCommand()},
	}
	if err := root.Run(ctx, args); err != nil {
		fmt.Fprintf(stderr, "standin: %v\n", err)
		return 1
	}
	return 0
}

// rootAction runs when no command matches.
func rootAction(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return fmt.Errorf("unknown command %q; see standin --help", c.Args().First())
	}
	return cli.ShowRootCommandHelp(c)
}
