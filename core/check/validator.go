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
	// MaxTicketBytes is 1 KiB below the object API's value limit of 1 MB, to leave room for the number, the time and
	// the framing in a snapshot, which are added after the check.
	MaxTicketBytes  = 1_000_000 - 1024
	maxCommentBytes = 4096
	maxTextBytes    = 128
)

// Validator validates tickets from one source.
type Validator struct {
	// Source is the file or other origin of the ticket, as named in error messages.
	Source string
}

// ValidateTicket validates a ticket against the configuration that it changes and returns the first violation as a
// *core.Error.
func (v Validator) ValidateTicket(cfg *core.Config, t *wire.Ticket) error {
	if err := v.checkHeader(t); err != nil {
		return err
	}
	seen := map[string]bool{}
	for i, item := range t.GetItems() {
		loc := location{v, fmt.Sprintf("items[%d]", i)}
		if err := loc.checkItem(cfg, item); err != nil {
			return err
		}
		key := state.ItemKey(item)
		if seen[key] {
			return loc.fieldError("", key, "set each item once in a ticket")
		}
		seen[key] = true
	}
	next, err := state.Fold(cfg, t)
	if err != nil {
		return err
	}
	return location{v, "items"}.checkReferences(cfg, next, t)
}

func (v Validator) checkHeader(t *wire.Ticket) error {
	loc := location{Validator: v}
	if err := loc.checkText("id", t.GetId()); err != nil {
		return err
	}
	if err := loc.checkText("author", t.GetAuthor()); err != nil {
		return err
	}
	if n := len(t.GetComment()); n > maxCommentBytes {
		return loc.fieldError("comment", strconv.Itoa(n)+" bytes", fmt.Sprintf("use at most %d bytes", maxCommentBytes))
	}
	if len(t.GetItems()) == 0 {
		return loc.fieldError("items", "", "give at least one service, team, rank, endpoint or removal")
	}
	if n := proto.Size(t); n > MaxTicketBytes {
		return loc.fieldError("items", strconv.Itoa(n)+" bytes",
			fmt.Sprintf("split the change into tickets of at most %d bytes", MaxTicketBytes))
	}
	return nil
}
