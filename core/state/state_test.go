package state_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"snipeshed/core"
	"snipeshed/core/state"
	"snipeshed/wire"
)

func team(name string, weight int64) *wire.Item {
	return &wire.Item{Body: &wire.Item_Team{Team: &wire.Team{
		Name: name, Weight: weight, Keys: []*wire.Key{{Sha256: "digest-" + name, Rank: "urgent"}},
	}}}
}

func removal(key string) *wire.Item {
	return &wire.Item{Body: &wire.Item_Remove{Remove: &wire.Removal{Item: key}}}
}

func ticket(n uint64, items ...*wire.Item) *wire.Ticket {
	return &wire.Ticket{Number: n, Id: state.TicketKey(core.TicketNumber(n)), Items: items}
}

// Guards against applying tickets out of order, twice or not at all.
func TestApplyOrder(t *testing.T) {
	for name, c := range map[string]struct {
		numbers []uint64
		want    core.TicketNumber
		gap     bool
	}{
		"in order":     {[]uint64{1, 2, 3}, 3, false},
		"repeated":     {[]uint64{1, 1, 2, 1}, 2, false},
		"gap":          {[]uint64{1, 3}, 1, true},
		"starts at 2":  {[]uint64{2}, 0, true},
		"zero ignored": {[]uint64{0}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, gap := state.New(), false
			for _, n := range c.numbers {
				var e *state.GapError
				gap = errors.As(s.Apply(ticket(n, team("a", int64(n)))), &e)
			}
			is.Equal(s.Number(), c.want)
			is.Equal(gap, c.gap)
		})
	}
}

// Guards against a removal that leaves the item or its keys behind, or that leaves no tombstone to detect conflicts with.
func TestRemovalKeepsTombstone(t *testing.T) {
	is := is.New(t)
	s := state.New()
	is.NoErr(s.Apply(ticket(1, team("a", 1))))
	is.Equal(s.Config().Keys["digest-a"], core.Credential{Team: "a", Rank: "urgent"})
	is.NoErr(s.Apply(ticket(2, removal("team/a"))))
	is.Equal(len(s.Config().Teams), 0)
	is.Equal(len(s.Config().Keys), 0)
	is.Equal(s.Config().SetBy["team/a"], core.TicketNumber(2))
	copied := state.New()
	is.NoErr(copied.Load(s.Snapshot()))
	is.Equal(copied.Config().SetBy["team/a"], core.TicketNumber(2))
}

// Guards against reporting a ticket as in force after skipping some of its items.
func TestUnknownItemIsRefused(t *testing.T) {
	is := is.New(t)
	s := state.New()
	var e *state.ItemError
	is.True(errors.As(s.Apply(ticket(1, &wire.Item{})), &e))
	is.Equal(s.Number(), core.TicketNumber(0))
}

// Guards against returning a range of tickets with a gap.
func TestTicketsAfterAndByID(t *testing.T) {
	is := is.New(t)
	s := state.New(state.WithTicketLimits(3, 1<<20))
	for n := uint64(1); n <= 5; n++ {
		is.NoErr(s.Apply(ticket(n, team("a", int64(n)))))
	}
	_, ok := s.TicketsAfter(1, 10)
	is.True(!ok) // ticket 2 is no longer kept
	got, ok := s.TicketsAfter(2, 2)
	is.True(ok)
	is.Equal(len(got), 2)
	is.Equal(got[0].GetNumber(), uint64(3))
	got, ok = s.TicketsAfter(5, 10)
	is.True(ok && len(got) == 0)
	_, ok = s.TicketByID(state.TicketKey(2))
	is.True(!ok)
	_, ok = s.TicketByID(state.TicketKey(5))
	is.True(ok)
}

// Guards against a subscriber that misses a configuration or sees one out of order.
func TestSubscribe(t *testing.T) {
	is := is.New(t)
	s := state.New()
	var seen []core.TicketNumber
	s.Subscribe(func(c *core.Config) {
		is.Equal(s.Snapshot().GetNumber(), uint64(c.Number)) // reading inside a callback must not deadlock
		seen = append(seen, c.Number)
	})
	is.NoErr(s.Apply(ticket(1)))
	is.NoErr(s.Load(&wire.Snapshot{Number: 7}))
	is.NoErr(s.Load(&wire.Snapshot{Number: 6}))
	is.Equal(seen, []core.TicketNumber{0, 1, 7})
}

// Guards against a state that depends on how the tickets arrived: any mix of snapshots, repeated tickets and tickets in
// order must give the same state as the log alone, and the ticket number must never decrease.
func TestFoldProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(rt)
		count := rapid.Uint64Range(1, 30).Draw(rt, "tickets")
		plain, mixed := state.New(), state.New(state.WithTicketLimits(4, 1<<20))
		var log []*wire.Ticket
		var snaps []*wire.Snapshot
		for n := uint64(1); n <= count; n++ {
			var items []*wire.Item
			for range rapid.IntRange(0, 3).Draw(rt, "items") {
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "name")
				if rapid.Bool().Draw(rt, "remove") {
					items = append(items, removal("team/"+name))
				} else {
					items = append(items, team(name, rapid.Int64Range(1, 9).Draw(rt, "weight")))
				}
			}
			log = append(log, ticket(n, items...))
			is.NoErr(plain.Apply(log[n-1]))
			snaps = append(snaps, proto.CloneOf(plain.Snapshot()))
		}
		for mixed.Number() < plain.Number() {
			before := mixed.Number()
			i := rapid.IntRange(0, len(log)-1).Draw(rt, "position")
			if rapid.IntRange(0, 3).Draw(rt, "source") == 0 {
				is.NoErr(mixed.Load(snaps[i]))
			} else {
				_ = mixed.Apply(log[min(i, int(before))]) // an older ticket or the next one
			}
			is.True(mixed.Number() >= before)
			is.True(proto.Equal(mixed.Snapshot(), snapshotAt(snaps, mixed.Number())))
		}
		is.Equal(mixed.Config().SetBy, plain.Config().SetBy)
		is.Equal(mixed.Config().Keys, plain.Config().Keys)
	})
}

func snapshotAt(snaps []*wire.Snapshot, n core.TicketNumber) *wire.Snapshot {
	if n == 0 {
		return &wire.Snapshot{}
	}
	return snaps[n-1]
}
