package cmds

import (
	"context"

	"github.com/urfave/cli/v3"

	"snipeshed/conf"
	"snipeshed/daemon"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:        "serve",
		Usage:       "runs one instance until SIGTERM, then stops gracefully",
		Description: "Example: snipeshed serve --settings instance.json",
		Flags:       []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "path of the settings file", Required: true}},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := conf.Load(c.String("settings"))
			if err != nil {
				return err
			}
			return daemon.Run(ctx, s, c.Root().ErrWriter)
		},
	}
}
