package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"

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
		Usage: "checks settings, tickets and routing configurations without calling an instance",
		Description: "Tickets are checked one after another, each against the configuration after those before it.\n" +
			"Example: snipeshed check --settings instance.json --ticket examples/kodusvahetus.json\n" +
			"Example: snipeshed check --routing new.json --in-force current.json --edge-settings edge.json\n" +
			"Exit code 0 means that all is valid, 1 that something is not; the reason and its remedy are on standard error, the findings\n" +
			"about a routing configuration on standard output.",
		Flags: append([]cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings file of an instance to check"},
			&cli.StringFlag{Name: "edge-settings", Usage: "settings file of an entry instance to check; prints each value and where it comes from"},
			&cli.StringSliceFlag{Name: "ticket", Usage: "ticket file to check; may be repeated"},
			&cli.StringFlag{Name: "configuration", Usage: "output of snipeshed ticket show that the first ticket changes; empty without it"},
		}, routingFlags()...),
		Action: func(_ context.Context, c *cli.Command) error {
			if !slices.ContainsFunc([]string{"settings", "ticket", "edge-settings", "routing", "in-force"}, c.IsSet) {
				return root.UsageError(c, "nothing to check; give --settings, --edge-settings, --routing or --ticket")
			}
			if path := c.String("settings"); path != "" {
				if _, err := conf.Load(path); err != nil {
					return err
				}
				fmt.Fprintf(c.Root().Writer, "%s: settings are valid\n", path)
			}
			if path := c.String("edge-settings"); path != "" {
				if err := printEdgeSettings(c.Root().Writer, path); err != nil {
					return err
				}
			}
			if err := checkRouting(c); err != nil {
				return err
			}
			return checkTickets(c)
		},
	}
}

// printEdgeSettings checks a settings file of an entry instance and prints each value and where it comes from.
func printEdgeSettings(w io.Writer, path string) error {
	all, err := conf.EffectiveEdgeSettings(path)
	if err != nil {
		return err
	}
	rows := [][]string{{"SETTING", "VALUE", "UNIT", "FROM"}}
	for _, s := range all {
		rows = append(rows, []string{s.Name, s.Value, s.Unit, string(s.Origin)})
	}
	if err := writeTable(w, rows); err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s: settings are valid\n", path)
	return err
}

// checkTickets checks the ticket files in order, each against the configuration after the previous one.
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
		if err := (check.Validator{Source: path}).ValidateTicket(s.Config(), t); err != nil {
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
