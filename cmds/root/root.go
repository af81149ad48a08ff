package root

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Run runs the command that args select and returns the exit code.
func Run(c *cli.Command, args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	c.Writer, c.ErrWriter = stdout, stderr
	c.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	useShortUsageErrors(c)
	if err := c.Run(ctx, args); err != nil {
		fmt.Fprintf(stderr, "%s: %s\n", c.Name, strings.Join(strings.Fields(err.Error()), " "))
		return 1
	}
	return 0
}

// useShortUsageErrors makes c and its subcommands report a wrong flag or subcommand on one line. By default, the help text
// precedes the error.
func useShortUsageErrors(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, c *cli.Command, err error, _ bool) error {
		return UsageError(c, err.Error())
	}
	if len(c.Commands) > 0 {
		c.Action = func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return UsageError(c, fmt.Sprintf("no command %q", c.Args().First()))
			}
			return cli.ShowSubcommandHelp(c)
		}
	}
	for _, sub := range c.Commands {
		useShortUsageErrors(sub)
	}
}

// UsageError returns an error for wrong arguments that points to the help of the command.
func UsageError(c *cli.Command, message string) error {
	return fmt.Errorf("%s; %s --help shows the usage", message, c.FullName())
}
