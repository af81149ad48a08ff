package state

import (
	"fmt"
	"strings"

	"snipeshed/core"
	"snipeshed/wire"
)

// Kinds of items; an item's key is its kind, a slash and its name.
const (
	KindService  = "service"
	KindTeam     = "team"
	KindRank     = "rank"
	KindEndpoint = "endpoint"
)

// ItemKey returns the key of an item such as "team/tallinn", or "" when the item has no kind or name.
func ItemKey(item *wire.Item) string {
	switch b := item.GetBody().(type) {
	case *wire.Item_Service:
		return joinKey(KindService, b.Service.GetName())
	case *wire.Item_Team:
		return joinKey(KindTeam, b.Team.GetName())
	case *wire.Item_Rank:
		return joinKey(KindRank, b.Rank.GetName())
	case *wire.Item_Endpoint:
		return joinKey(KindEndpoint, b.Endpoint.GetName())
	case *wire.Item_Remove:
		if kind, _ := SplitKey(b.Remove.GetItem()); kind != "" {
			return b.Remove.GetItem()
		}
	}
	return ""
}

func joinKey(kind, name string) string {
	if name == "" {
		return ""
	}
	return kind + "/" + name
}

// SplitKey returns the kind and the name of an item's key, or two empty strings when it is malformed.
func SplitKey(key string) (kind, name string) {
	kind, name, _ = strings.Cut(key, "/")
	switch kind {
	case KindService, KindTeam, KindRank, KindEndpoint:
		if name != "" {
			return kind, name
		}
	}
	return "", ""
}

// ItemError means that a ticket or snapshot has an item that this version cannot interpret.
type ItemError struct {
	Number core.TicketNumber
}

// Error names the ticket. The whole ticket is refused, because skipping the item would report a configuration as in force
// that is not.
func (e *ItemError) Error() string {
	return fmt.Sprintf("ticket %d has an item without a known kind and name; it needs a newer version of snipeshed", e.Number)
}
