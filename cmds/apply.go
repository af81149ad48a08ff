package cmds

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"snipeshed/cmds/root"
	"snipeshed/core"
	"snipeshed/wire"
)

const (
	// applyAttempts bounds how often a ticket is sent while its outcome is unknown; its id makes retries safe.
	applyAttempts   = 3
	applyRetryDelay = time.Second
)

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "applies a ticket and prints its number",
		ArgsUsage: "FILE",
		Description: "FILE is a ticket as JSON, or - for stdin. Without a base in the file, the last ticket in force at the\n" +
			"instance is taken, which does not notice changes by others before it; snipeshed ticket show --draft\n" +
			"prints a ticket with the base that was read.\nExample: snipeshed ticket apply --wait examples/hashimoto.json",
		Flags: operatorFlags(
			&cli.BoolFlag{Name: "wait", Usage: "wait until the ticket is in force at every instance, and print each"},
			&cli.DurationFlag{Name: "wait-timeout", Usage: "longest wait", Value: time.Minute},
			&cli.StringFlag{Name: "author", Usage: "author if the file names none", Sources: cli.EnvVars("SNIPESHED_AUTHOR", "USER")},
			&cli.StringFlag{Name: "id", Usage: "id of an earlier call whose outcome is unknown"},
			&cli.Uint64Flag{Name: "base", Usage: "number of the last ticket that the author had read"},
		),
		Action: runApply,
	}
}

func runApply(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return root.UsageError(c, "one ticket file is needed")
	}
	cl, err := newClient(c)
	if err != nil {
		return err
	}
	t, err := readTicket(c.Args().First(), os.Stdin)
	if err != nil {
		return err
	}
	if err := fillDefaults(ctx, c, cl, t); err != nil {
		return err
	}
	accepted, err := cl.applyUntilKnown(ctx, t)
	if err != nil {
		return addRetryRemedy(c, t, err)
	}
	fmt.Fprintf(c.Root().Writer, "ticket %d accepted, id %s\n", accepted.GetNumber(), accepted.GetId())
	if !c.Bool("wait") {
		return nil
	}
	return cl.waitInForce(ctx, c.Root().Writer, accepted.GetNumber(), c.Duration("wait-timeout"))
}

// fillDefaults sets the fields that the file leaves out. It does not set the base of a ticket that comes with an id, as
// such a ticket may have been applied before and must keep its base.
func fillDefaults(ctx context.Context, c *cli.Command, cl *client, t *wire.Ticket) error {
	if c.IsSet("id") {
		t.Id = c.String("id")
	}
	if c.IsSet("base") {
		t.Base = c.Uint64("base")
	}
	if t.GetAuthor() == "" {
		t.Author = c.String("author")
	}
	if t.GetId() != "" {
		return nil
	}
	t.Id = core.NewRandomID()
	if t.GetBase() != 0 || c.IsSet("base") {
		return nil
	}
	resp, err := cl.Show(ctx, &wire.ShowRequest{})
	if err != nil {
		return cl.callError(err)
	}
	t.Base = resp.GetConfiguration().GetNumber()
	return nil
}

// applyUntilKnown applies a ticket, retrying with the same id while the outcome is unknown.
func (c *client) applyUntilKnown(ctx context.Context, t *wire.Ticket) (*wire.Ticket, error) {
	unknown := error(nil)
	for try := 1; ; try++ {
		accepted, err := c.Apply(ctx, t)
		if err == nil {
			return accepted, nil
		}
		err = c.callError(err)
		var typed *core.Error
		switch {
		case notSent(err) && unknown == nil:
			return nil, err
		case !errors.As(err, &typed) || typed.Execution == core.ExecutionUnknown:
			unknown = err
		case unknown == nil || typed.Kind != core.KindStoreDown:
			return nil, err // refused; only store_down after an unknown outcome leaves it unknown
		}
		if try == applyAttempts || ctx.Err() != nil {
			return nil, &core.Error{Kind: core.KindOutcomeUnknown, Message: "the ticket may have been accepted", Execution: core.ExecutionUnknown, Cause: unknown}
		}
		select {
		case <-time.After(applyRetryDelay):
		case <-ctx.Done():
		}
	}
}

// addRetryRemedy sets the remedy of an unknown outcome to the command that safely retries the ticket.
func addRetryRemedy(c *cli.Command, t *wire.Ticket, err error) error {
	var typed *core.Error
	if errors.As(err, &typed) && typed.Kind == core.KindOutcomeUnknown {
		typed.Remedy = fmt.Sprintf("run snipeshed ticket apply --id %s --base %d --author %q %s, which accepts it at most once",
			t.GetId(), t.GetBase(), t.GetAuthor(), c.Args().First())
	}
	return err
}
