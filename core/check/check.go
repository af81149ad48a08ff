package check

import (
	"fmt"
	"strconv"

	"google.golang.org/protobuf/proto"

	"snipeshed/core"
	"snipeshed/core/state"
	"snipeshed/wire"
)

// Limits of a ticket.
const (
	// MaxTicketBytes leaves 1 KiB of the object API's 1 MB value limit for the number, the time
	// and the framing in a snapshot, which are added after the check.
	MaxTicketBytes  = 1_000_000 - 1024
	maxCommentBytes = 4096
	maxTextBytes    = 128
)

// Check validates tickets from one source.
type Check struct {
	// Source is the file or other origin that errors name.
	Source string
}

// Ticket validates a ticket against the configuration that it changes and returns the first fault as a *core.Error.
func (c Check) Ticket(cfg *core.Config, t *wire.Ticket) error {
	if err := c.header(t); err != nil {
		return err
	}
	seen := map[string]bool{}
	for i, item := range t.GetItems() {
		at := at{c, fmt.Sprintf("items[%d]", i)}
		if err := at.item(cfg, item); err != nil {
			return err
		}
		key := state.ItemKey(item)
		if seen[key] {
			return at.fault("", key, "set each item once in a ticket")
		}
		seen[key] = true
	}
	next, err := state.Fold(cfg, t)
	if err != nil {
		return err
	}
	return at{c, "items"}.references(cfg, next, t)
}

func (c Check) header(t *wire.Ticket) error {
	at := at{Check: c}
	if err := at.text("id", t.GetId()); err != nil {
		return err
	}
	if err := at.text("author", t.GetAuthor()); err != nil {
		return err
	}
	if n := len(t.GetComment()); n > maxCommentBytes {
		return at.fault("comment", strconv.Itoa(n)+" bytes", fmt.Sprintf("use at most %d bytes", maxCommentBytes))
	}
	if len(t.GetItems()) == 0 {
		return at.fault("items", "", "give at least one service, team, rank, endpoint or removal")
	}
	if n := proto.Size(t); n > MaxTicketBytes {
		return at.fault("items", strconv.Itoa(n)+" bytes",
			fmt.Sprintf("split the change into tickets of at most %d bytes", MaxTicketBytes))
	}
	return nil
}
