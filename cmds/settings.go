package cmds

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"snipeshed/conf"
)

func settingsCommand() *cli.Command {
	return &cli.Command{
		Name:        "settings",
		Usage:       "prints the reference of all settings",
		Description: "Example: snipeshed settings --markdown > docs/settings.md",
		Flags:       []cli.Flag{&cli.BoolFlag{Name: "markdown", Usage: "print the page as Markdown", Value: true}},
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := fmt.Fprint(c.Root().Writer, conf.MarkdownReference())
			return err
		},
	}
}
