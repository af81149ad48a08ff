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
		Commands:       []*cli.Command{policyCommand()},
	}
	if err := root.Run(ctx, args); err != nil {
		fmt.Fprintf(stderr, "standin: %v\n", err)
		return 1
	}
	return 0
}
