package cmds

import (
	"context"
	"fmt"
	"slices"
	"strconv"

	"github.com/urfave/cli/v3"

	"snipeshed/cmds/root"
	"snipeshed/core/state"
	"snipeshed/wire"
)

func showCommand() *cli.Command {
	return &cli.Command{
		Name:      "show",
		Usage:     "prints a ticket, or the configuration in force",
		ArgsUsage: "[NUMBER]",
		Description: "Example: snipeshed ticket show 12\n" +
			"Example: snipeshed ticket show --draft team/tallinn > change.json, then edit it and run snipeshed ticket apply change.json",
		Flags: operatorFlags(&cli.StringSliceFlag{
			Name: "draft", Usage: "print a ticket with the current state of this item, such as team/tallinn, as a start for a change; may be repeated",
		}),
		Action: runShow,
	}
}

func runShow(ctx context.Context, c *cli.Command) error {
	number, err := numberArg(c, 0)
	if err != nil {
		return err
	}
	cl, err := newClient(c)
	if err != nil {
		return err
	}
	resp, err := cl.Show(ctx, &wire.ShowRequest{Number: number})
	switch keys := c.StringSlice("draft"); {
	case err != nil:
		return cl.callError(err)
	case number != 0:
		return writeJSON(c.Root().Writer, resp.GetTicket())
	case len(keys) > 0:
		t, err := draftTicket(resp.GetConfiguration(), keys)
		if err != nil {
			return err
		}
		return writeJSON(c.Root().Writer, t)
	}
	return writeJSON(c.Root().Writer, resp.GetConfiguration())
}

// draftTicket returns a ticket that sets items to their current state, for editing.
func draftTicket(snap *wire.Snapshot, keys []string) (*wire.Ticket, error) {
	t := &wire.Ticket{Base: snap.GetNumber()}
	for _, key := range keys {
		i := slices.IndexFunc(snap.GetEntries(), func(e *wire.Entry) bool { return state.ItemKey(e.GetItem()) == key })
		if i < 0 || snap.GetEntries()[i].GetItem().GetRemove() != nil {
			return nil, fmt.Errorf("item %q does not exist after ticket %d; snipeshed ticket show prints all items", key, snap.GetNumber())
		}
		if state.HasUnknownFields(snap.GetEntries()[i].GetItem()) {
			return nil, fmt.Errorf("item %q has fields that this version of snipeshed does not know, and a draft without them would remove them; use the command of a newer version", key)
		}
		t.Items = append(t.Items, snap.GetEntries()[i].GetItem())
	}
	return t, nil
}

// numberArg returns the ticket number in the i-th argument, or 0 if there is none.
func numberArg(c *cli.Command, i int) (uint64, error) {
	s := c.Args().Get(i)
	if s == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return 0, root.UsageError(c, fmt.Sprintf("%q is not a ticket number", s))
	}
	return n, nil
}
