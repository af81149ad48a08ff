package cmds

import (
	"io"

	"github.com/urfave/cli/v3"

	"snipeshed/cmds/root"
)

// Main runs the command that args select and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	return root.Run(&cli.Command{
		Name:     "snipeshed",
		Usage:    "serves model generations of unknown length on crowded engines",
		Commands: []*cli.Command{serveCommand(), edgeCommand(), explainCommand(), ticketCommand(), checkCommand(), statusCommand(), settingsCommand()},
	}, args, stdout, stderr)
}
