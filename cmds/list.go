package cmds

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"snipeshed/cmds/root"
	"snipeshed/core/state"
	"snipeshed/wire"
)

func listCommand() *cli.Command {
	return &cli.Command{
		Name:        "list",
		Usage:       "prints tickets, by default the last ones",
		Description: "Example: snipeshed ticket list --after 120 --limit 10",
		Flags: operatorFlags(
			&cli.Uint64Flag{Name: "after", Usage: "print the tickets after this number"},
			&cli.Int32Flag{Name: "limit", Usage: "largest number of tickets, up to 100", Value: 20},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		),
		Action: runList,
	}
}

func runList(ctx context.Context, c *cli.Command) error {
	cl, err := newClient(c)
	if err != nil {
		return err
	}
	after, limit := c.Uint64("after"), c.Int32("limit")
	if limit < 1 {
		return root.UsageError(c, fmt.Sprintf("--limit has the value %d; use 1 to 100", limit))
	}
	if !c.IsSet("after") {
		resp, err := cl.Show(ctx, &wire.ShowRequest{})
		if err != nil {
			return cl.callError(err)
		}
		last := resp.GetConfiguration().GetNumber()
		after = last - min(last, uint64(limit))
	}
	resp, err := cl.List(ctx, &wire.ListRequest{After: after, Limit: limit})
	if err != nil {
		return cl.callError(err)
	}
	if c.Bool("json") {
		return writeJSON(c.Root().Writer, resp)
	}
	if first := resp.GetFirstKept(); first > 0 {
		fmt.Fprintf(c.Root().Writer, "tickets %d to %d are no longer kept\n", after+1, first-1)
	}
	rows := [][]string{{"NUMBER", "ACCEPTED", "AUTHOR", "ITEMS", "COMMENT"}}
	for _, t := range resp.GetTickets() {
		rows = append(rows, []string{
			fmt.Sprint(t.GetNumber()), time.UnixMilli(t.GetAcceptedUnixMs()).UTC().Format(time.DateTime),
			t.GetAuthor(), itemKeys(t), t.GetComment(),
		})
	}
	return writeTable(c.Root().Writer, rows)
}

// maxListedItems keeps a line readable; snipeshed ticket show prints all items.
const maxListedItems = 4

// itemKeys returns the keys of the first items of a ticket, with a minus sign before those that it removes.
func itemKeys(t *wire.Ticket) string {
	var keys []string
	for i, item := range t.GetItems() {
		if i == maxListedItems {
			keys = append(keys, fmt.Sprintf("and %d more", len(t.GetItems())-i))
			break
		}
		key := state.ItemKey(item)
		if item.GetRemove() != nil {
			key = "-" + key
		}
		keys = append(keys, key)
	}
	return strings.Join(keys, " ")
}
