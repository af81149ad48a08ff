package oper

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"snipeshed/core"
	"snipeshed/core/state"
	"snipeshed/wire"
)

// Compare returns the items that differ between the configurations after two tickets. 0 for To means the configuration in
// force at this instance.
func (o *Server) Compare(ctx context.Context, req *wire.CompareRequest) (*wire.CompareResponse, error) {
	from, to, head := core.TicketNumber(req.GetFrom()), core.TicketNumber(req.GetTo()), o.state.Number()
	if to == 0 {
		to = head
	}
	if max(from, to) > head {
		return nil, &core.Error{
			Kind: core.KindNotFound, Execution: core.NotExecuted,
			Message: fmt.Sprintf("ticket %d is not in force here; the last one is %d", max(from, to), head),
			Remedy:  "use lower numbers",
		}
	}
	diffs, err := o.ticketLog.compare(ctx, min(from, to), max(from, to))
	if err != nil {
		return nil, readError(err)
	}
	if from > to {
		for _, d := range diffs {
			d.Before, d.After = d.After, d.Before
		}
	}
	return &wire.CompareResponse{Differences: diffs}, nil
}

// compare returns the differences between the configurations after tickets low and high, sorted by item key.
func (l *ticketLog) compare(ctx context.Context, low, high core.TicketNumber) ([]*wire.Difference, error) {
	changes, err := l.ticketsBetween(ctx, low, high)
	if err != nil {
		return nil, err
	}
	diffs := map[string]*wire.Difference{}
	for _, t := range changes {
		for _, item := range t.GetItems() {
			key := state.ItemKey(item)
			diffs[key] = &wire.Difference{Item: key, After: itemUnlessRemoved(item), SetBy: t.GetNumber()}
		}
	}
	if err := l.fillBefore(ctx, low, diffs); err != nil {
		return nil, err
	}
	var sorted []*wire.Difference
	for _, key := range slices.Sorted(maps.Keys(diffs)) {
		if d := diffs[key]; d.GetEarlierDeleted() || !proto.Equal(d.GetBefore(), d.GetAfter()) {
			sorted = append(sorted, d)
		}
	}
	return sorted, nil
}

// fillBefore sets Before to each item's state after ticket n, by reading the log backwards until all items are found.
// Items not found get EarlierDeleted if the log has been trimmed.
func (l *ticketLog) fillBefore(ctx context.Context, n core.TicketNumber, diffs map[string]*wire.Difference) error {
	missing, deleted := maps.Clone(diffs), false
	for n > 0 && len(missing) > 0 {
		start := n - min(n, listPageSize)
		page, err := l.ticketsBetween(ctx, start, n)
		var trimmed *trimmedError
		if errors.As(err, &trimmed) {
			page, err = l.readPage(ctx, start, int(n-start))
			page = slices.DeleteFunc(page, func(t *wire.Ticket) bool { return t.GetNumber() > uint64(n) })
			start, deleted = 0, true
		}
		if err != nil {
			return err
		}
		for _, t := range slices.Backward(page) {
			for _, item := range t.GetItems() {
				if d, ok := missing[state.ItemKey(item)]; ok {
					d.Before = itemUnlessRemoved(item)
					delete(missing, d.GetItem())
				}
			}
		}
		n = start
	}
	for _, d := range missing {
		d.EarlierDeleted = deleted
	}
	return nil
}

// itemUnlessRemoved returns item, or nil if it is a removal.
func itemUnlessRemoved(item *wire.Item) *wire.Item {
	if item.GetRemove() != nil {
		return nil
	}
	return item
}
