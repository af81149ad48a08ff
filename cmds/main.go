package cmds

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &cli.Command{
		Name:           "snipeshed",
		Usage:          "serves model generations of unknown length on crowded engines",
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands:       []*cli.Command{serveCommand(), ticketCommand(), checkCommand(), statusCommand(), settingsCommand()},
	}
	strict(root)
	if err := root.Run(ctx, args); err != nil {
		fmt.Fprintf(stderr, "snipeshed: %s\n", strings.Join(strings.Fields(err.Error()), " "))
		return 1
	}
	return 0
}

// strict makes a wrong flag or subcommand one line on stderr; by default the whole help text precedes the error.
func strict(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, c *cli.Command, err error, _ bool) error {
		return usageError(c, err.Error())
	}
	if len(c.Commands) > 0 {
		c.Action = func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return usageError(c, fmt.Sprintf("no command %q", c.Args().First()))
			}
			return cli.ShowSubcommandHelp(c)
		}
	}
	for _, sub := range c.Commands {
		strict(sub)
	}
}

func usageError(c *cli.Command, message string) error {
	return fmt.Errorf("%s; %s --help shows the usage", message, c.FullName())
}
