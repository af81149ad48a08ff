package cmds

import (
	"context"

	"github.com/urfave/cli/v3"

	"snipeshed/edge"
	"snipeshed/platform"
)

func edgeCommand() *cli.Command {
	return &cli.Command{
		Name:        "edge",
		Usage:       "runs one entry instance on the users' platform until SIGTERM, then stops gracefully",
		Description: "Example: snipeshed edge --settings /etc/snipeshed/settings.json",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "settings", Usage: "path of the settings file", Required: true,
				Sources: cli.EnvVars(platform.SettingsVariable),
			},
			replacementFlag("evacuation-timeout-ms", platform.EvacuationVariable),
			replacementFlag("cold-excess", platform.ColdExcessVariable),
			replacementFlag("cold-slack", platform.ColdSlackVariable),
			replacementFlag("learn-endpoint-speed", platform.LearnSpeedVariable),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return edge.Run(ctx, c.String("settings"), c.Root().Writer, edge.WithEvacuationTimeout(c.String("evacuation-timeout-ms")),
				edge.WithColdLimit(c.String("cold-excess"), c.String("cold-slack")), edge.WithLearnedSpeed(c.String("learn-endpoint-speed")))
		},
	}
}

// replacementFlag returns a flag that replaces a setting. It is empty where the platform does not set the variable's value.
func replacementFlag(name, variable string) cli.Flag {
	return &cli.StringFlag{Name: name, Usage: "replaces the setting of this name unless it is empty", Sources: cli.EnvVars(variable)}
}
