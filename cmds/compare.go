package cmds

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"

	"snipeshed/cmds/root"
	"snipeshed/wire"
)

func compareCommand() *cli.Command {
	return &cli.Command{
		Name:        "compare",
		Usage:       "prints the items that differ between the configurations after two tickets",
		ArgsUsage:   "FROM [TO]",
		Description: "TO is by default the configuration in force.\nExample: snipeshed ticket compare 12 17",
		Flags:       operatorFlags(&cli.BoolFlag{Name: "json", Usage: "print JSON"}),
		Action:      runCompare,
	}
}

func runCompare(ctx context.Context, c *cli.Command) error {
	if n := c.Args().Len(); n < 1 || n > 2 {
		return root.UsageError(c, "one or two ticket numbers are needed")
	}
	from, err := numberArg(c, 0)
	if err != nil {
		return err
	}
	to, err := numberArg(c, 1)
	if err != nil {
		return err
	}
	cl, err := newClient(c)
	if err != nil {
		return err
	}
	resp, err := cl.Compare(ctx, &wire.CompareRequest{From: from, To: to})
	if err != nil {
		return cl.callError(err)
	}
	w := c.Root().Writer
	if c.Bool("json") {
		return writeJSON(w, resp)
	}
	if len(resp.GetDifferences()) == 0 {
		fmt.Fprintln(w, "no differences")
	}
	for _, d := range resp.GetDifferences() {
		fmt.Fprintf(w, "%s, set by ticket %d\n", d.GetItem(), d.GetSetBy())
		if d.GetEarlierDeleted() {
			fmt.Fprintln(w, "  the state at the lower number is not known: the ticket that set it is no longer kept")
		}
		for _, side := range []struct {
			sign string
			item *wire.Item
		}{{"-", d.GetBefore()}, {"+", d.GetAfter()}} {
			if side.item == nil {
				continue
			}
			line, err := compactJSON(side.item)
			if err != nil {
				return err
			}
			fmt.Fprintf(w, "  %s %s\n", side.sign, line)
		}
	}
	return nil
}

// compactJSON returns an item as JSON on one line.
func compactJSON(item *wire.Item) (string, error) {
	b, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(item)
	if err != nil {
		return "", err
	}
	var raw json.RawMessage = b
	b, err = json.Marshal(raw) // removes the spaces, which protojson randomizes
	return string(b), err
}
