package cmds

import (
	"io"

	"github.com/urfave/cli/v3"

	"snipeshed/cmds/root"
)

// Main runs the command line in args and returns the exit code of the process.
func Main(args []string, stdout, stderr io.Writer) int {
	return root.Run(&cli.Command{
		Name:     "standin",
		Usage:    "runs stand-ins, the demo and the benchmarks",
		Commands: []*cli.Command{platformCommand(), runnerCommand(), appCommand(), demoCommand(), benchCommand(), policyCommand(), scaleCommand(), crashCommand()},
	}, args, stdout, stderr)
}
