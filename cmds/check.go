package cmds

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"snipeshed/cmds/root"
	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/core/check"
	"snipeshed/core/state"
	"snipeshed/wire"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "checks settings and tickets without calling an instance",
		Description: "Tickets are checked one after another, each against the configuration after those before it.\n" +
			"Example: snipeshed check --settings instance.json --ticket examples/kodusvahetus.json",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings file to check"},
			&cli.StringSliceFlag{Name: "ticket", Usage: "ticket file to check; may be repeated"},
			&cli.StringFlag{Name: "configuration", Usage: "output of snipeshed ticket show that the first ticket changes; empty without it"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if !c.IsSet("settings") && !c.IsSet("ticket") {
				return root.UsageError(c, "nothing to check; give --settings or --ticket")
			}
			if path := c.String("settings"); path != "" {
				if _, err := conf.Load(path); err != nil {
					return err
				}
				fmt.Fprintf(c.Root().Writer, "%s: settings are valid\n", path)
			}
			return checkTickets(c)
		},
	}
}

func checkTickets(c *cli.Command) error {
	s := state.New()
	if path := c.String("configuration"); path != "" {
		snap := &wire.Snapshot{}
		if err := readJSON(path, os.Stdin, snap); err != nil {
			return err
		}
		if err := s.Load(snap); err != nil {
			return err
		}
	}
	for _, path := range c.StringSlice("ticket") {
		t, err := readTicket(path, os.Stdin)
		if err != nil {
			return err
		}
		if err := (check.Check{Source: path}).Ticket(s.Config(), t); err != nil {
			return err
		}
		t.Number = uint64(s.Number() + core.TicketNumber(1))
		if err := s.Apply(t); err != nil {
			return err
		}
		fmt.Fprintf(c.Root().Writer, "%s: ticket is valid, items %s\n", path, itemKeys(t))
	}
	return nil
}
