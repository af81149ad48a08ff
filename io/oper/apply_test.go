package oper_test

import (
	"errors"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/io/oper"
	"snipeshed/wire"
)

// step applies one ticket at one of two instances.
type step struct {
	at     int
	ticket *wire.Ticket
	// number is the expected number; 0 means that the ticket is refused with this kind and run, and a message with these
	// parts.
	number uint64
	kind   core.ErrorKind
	run    core.Execution
	parts  []string
}

// Guards against a ticket that is lost, in the log twice, accepted despite a conflict, or reported as refused although it
// was accepted.
func TestApply(t *testing.T) {
	a := ticket("a", 0, rank("urgent", 1))
	for name, c := range map[string]struct {
		faults []fault
		steps  []step
		log    string
	}{
		"different items": {nil, []step{
			{at: 0, ticket: a, number: 1},
			{at: 1, ticket: ticket("b", 0, rank("batch", 1)), number: 2},
		}, "a b"},
		"same item": {nil, []step{
			{at: 0, ticket: a, number: 1},
			{at: 1, ticket: ticket("b", 0, rank("urgent", 2)), kind: core.KindConflict, run: core.NotExecuted, parts: []string{"ticket 1 of author-a", "rank/urgent", "base 0", "ticket show 1"}},
			{at: 1, ticket: ticket("b", 1, rank("urgent", 2)), number: 2},
		}, "a b"},
		"conflict with a removal": {nil, []step{
			{at: 0, ticket: a, number: 1},
			{at: 0, ticket: ticket("r", 1, removal("rank/urgent")), number: 2},
			{at: 1, ticket: ticket("b", 1, rank("urgent", 2)), kind: core.KindConflict, run: core.NotExecuted, parts: []string{"ticket 2 of author-r"}},
		}, "a r"},
		"reference removed meanwhile": {nil, []step{
			{at: 0, ticket: a, number: 1},
			{at: 0, ticket: ticket("r", 1, removal("rank/urgent")), number: 2},
			{at: 1, ticket: ticket("b", 1, team("t", "urgent")), kind: core.KindBadRequest, run: core.NotExecuted, parts: []string{"keys[0].rank"}},
		}, "a r"},
		"lost answer":     {[]fault{faultLost}, []step{{ticket: a, number: 1}}, "a"},
		"dropped request": {[]fault{faultDropped, faultDropped}, []step{{ticket: a, number: 1}}, "a"},
		"late request":    {[]fault{faultDelayed, faultDelayed, faultDelayed}, []step{{ticket: a, number: 1}}, "a"},
		"refused writes":  {[]fault{faultRefused, faultRefused, faultRefused}, []step{{ticket: a, kind: core.KindStoreDown, run: core.NotExecuted}}, ""},
		"retry at another instance": {nil, []step{
			{at: 0, ticket: a, number: 1},
			{at: 0, ticket: ticket("b", 1, rank("urgent", 5)), number: 2},
			{at: 1, ticket: a, number: 1},
			{at: 0, ticket: a, number: 1},
		}, "a b"},
		"id with other content": {nil, []step{
			{ticket: a, number: 1},
			{ticket: ticket("a", 0, rank("batch", 5)), kind: core.KindBadRequest, run: core.NotExecuted, parts: []string{"ticket 1 has"}},
		}, "a"},
		"base of the future": {nil, []step{{ticket: ticket("a", 4, rank("r", 1)), kind: core.KindBadRequest, run: core.NotExecuted, parts: []string{"field base"}}}, ""},
		"no id":              {nil, []step{{ticket: ticket("", 0, rank("r", 1)), kind: core.KindBadRequest, run: core.NotExecuted}}, ""},
		"no author":          {nil, []step{{ticket: &wire.Ticket{Id: "a"}, kind: core.KindBadRequest, run: core.NotExecuted}}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, st := is.New(t), newFaultyStore()
				st.puts = c.faults
				var acceptedIDs []string
				record := oper.WithAccepted(func(t *wire.Ticket) { acceptedIDs = append(acceptedIDs, t.GetId()) })
				var instances [2]*oper.Server
				for i := range instances {
					instances[i], _ = start(st, record)
				}
				for _, s := range c.steps {
					got, err := instances[s.at].Apply(t.Context(), s.ticket)
					is.Equal(got.GetNumber(), s.number)
					if s.number == 0 {
						checkRefusal(t, err, s)
					}
				}
				is.Equal(strings.Join(st.ticketIDs(t), " "), c.log)
				is.Equal(strings.Join(acceptedIDs, " "), c.log) // the callback ran once for each accepted ticket
			})
		})
	}
}

func checkRefusal(t *testing.T, err error, s step) {
	t.Helper()
	var e *core.Error
	if !errors.As(err, &e) || e.Kind != s.kind || e.Execution != s.run || e.Remedy == "" {
		t.Fatalf("got %v, want kind %s and run %s with a remedy", err, s.kind, s.run)
	}
	for _, part := range s.parts {
		if !strings.Contains(err.Error(), part) {
			t.Errorf("error %q lacks %q", err, part)
		}
	}
}

// Guards against a retry that accepts a ticket twice after a restart or a lost response, and against reporting the ticket
// as not accepted.
func TestOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, st := is.New(t), newFaultyStore()
		st.puts = []fault{faultOutage}
		first, _ := start(st)
		a := ticket("a", 0, rank("urgent", 1))
		_, err := first.Apply(t.Context(), a)
		checkRefusal(t, err, step{kind: core.KindOutcomeUnknown, run: core.ExecutionUnknown})
		st.SetDown(false)
		second, _ := start(st) // as after a restart: no memory of the first attempt
		got, err := second.Apply(t.Context(), a)
		is.NoErr(err)
		is.Equal(got.GetNumber(), uint64(1))
		is.Equal(st.ticketIDs(t), []string{"a"})
	})
}

// Guards against reporting that nothing was written after a lost response, if a snapshot replaces the tickets in memory
// and the log cannot be read for a while.
func TestLostAnswerBehindSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, st := is.New(t), newFaultyStore()
		first, s := start(st)
		second, other := start(st)
		st.puts = []fault{faultLost}
		st.onFail = func() {
			_, err := second.Apply(t.Context(), ticket("b", 0, rank("batch", 1)))
			is.NoErr(err)
			is.NoErr(s.Load(other.Snapshot()))
			for range 5 { // reading the end of the log succeeds, reading its middle fails
				st.lists = append(st.lists, faultNone, faultRefused)
			}
		}
		got, err := first.Apply(t.Context(), ticket("a", 0, rank("urgent", 1)))
		is.NoErr(err)
		is.Equal(got.GetNumber(), uint64(1))
		is.Equal(st.ticketIDs(t), []string{"a", "b"})
	})
}

// Guards against an instance that lags behind the trimmed log and writes a ticket under a number that was in use.
func TestTrimmedLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, st := is.New(t), newFaultyStore()
		o, s := start(st)
		for i, id := range []string{"a", "b", "c"} {
			_, err := o.Apply(t.Context(), ticket(id, uint64(i), rank(id, 1)))
			is.NoErr(err)
		}
		st.removeTicket(t, 1)
		behind, fresh := start(st)
		_, err := behind.Apply(t.Context(), ticket("d", 0, rank("d", 1)))
		checkRefusal(t, err, step{kind: core.KindStaleState, run: core.NotExecuted})
		is.NoErr(fresh.Load(s.Snapshot()))
		_, err = behind.Apply(t.Context(), ticket("d", 0, rank("d", 1))) // it may have been in the trimmed part of the log
		checkRefusal(t, err, step{kind: core.KindConflict, run: core.ExecutionUnknown})
		got, err := behind.Apply(t.Context(), ticket("d", 3, rank("d", 1)))
		is.NoErr(err)
		is.Equal(got.GetNumber(), uint64(4))
	})
}
