package cmds

import (
	"github.com/urfave/cli/v3"
)

func ticketCommand() *cli.Command {
	return &cli.Command{
		Name:  "ticket",
		Usage: "changes and shows the configuration",
		Description: "A ticket holds the complete new state of each service, team, rank and endpoint that it touches, " +
			"or its removal, as JSON.\nExample: snipeshed ticket apply --wait examples/kodusvahetus.json",
		Commands: []*cli.Command{applyCommand(), showCommand(), listCommand(), compareCommand()},
	}
}
