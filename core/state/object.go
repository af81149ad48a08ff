package state

import (
	"fmt"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"snipeshed/core"
	"snipeshed/wire"
)

// TicketPrefix is the key prefix of tickets in the object API.
const TicketPrefix = "tickets/"

// TicketKey returns the key of a ticket in the object API; the keys sort by ticket number.
func TicketKey(n core.TicketNumber) string { return fmt.Sprintf("%s%010d", TicketPrefix, n) }

// IsTicketKey reports whether a key of the object API is that of a ticket; other writers may put other objects beside the tickets.
func IsTicketKey(key string) bool {
	n, err := strconv.ParseUint(strings.TrimPrefix(key, TicketPrefix), 10, 64)
	return err == nil && key == TicketKey(core.TicketNumber(n))
}

// EncodeTicket returns a ticket as stored in the object API. The encoding is binary protobuf, so that
// an older instance preserves unknown fields.
func EncodeTicket(t *wire.Ticket) ([]byte, error) { return proto.Marshal(t) }

// DecodeTicket decodes the ticket stored under key and verifies that its number matches the key.
func DecodeTicket(key string, value []byte) (*wire.Ticket, error) {
	t := &wire.Ticket{}
	if err := proto.Unmarshal(value, t); err != nil {
		return nil, fmt.Errorf("object %q is not a ticket: %w", key, err)
	}
	if want := TicketKey(core.TicketNumber(t.GetNumber())); want != key {
		return nil, fmt.Errorf("object %q holds ticket %d, which belongs under %q", key, t.GetNumber(), want)
	}
	return t, nil
}
