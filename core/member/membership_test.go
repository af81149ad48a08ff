package member

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"snipeshed/core"
	"snipeshed/wire"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

var start = time.Unix(1_800_000_000, 0)

func instance(i int, state string, revision uint64) *wire.Instance {
	return &wire.Instance{
		Id: fmt.Sprintf("i%03d", i), Address: fmt.Sprintf("127.0.0.1:%d", 10000+i),
		FailureDomain: fmt.Sprintf("zone-%d", i%3), Kind: KindInstance, State: state, Revision: revision,
	}
}

func newMembership(n int) *Membership {
	m := New(core.Peer{ID: "i000", Address: "127.0.0.1:10000", FailureDomain: "zone-0"}, 5*time.Second)
	var list []*wire.Instance
	for i := range n {
		list = append(list, instance(i, StateLive, 1))
	}
	m.Merge(list, 0, 1)
	return m
}

func ids(peers []core.Peer) (ids []core.InstanceID) {
	for _, p := range peers {
		ids = append(ids, p.ID)
	}
	return ids
}

// Guards against a change of owner for resources of the remaining members when another member leaves.
func TestOwnersMoveMinimally(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(t, "fleet")
		gone := rapid.IntRange(1, n-1).Draw(t, "gone")
		m := newMembership(n)
		id := core.InstanceID(instance(gone, "", 0).GetId())
		before := map[string][]core.InstanceID{}
		for i := range 50 {
			r := fmt.Sprintf("pool/%d", i)
			before[r] = ids(m.Owners(start, r, n))
		}
		switch rapid.IntRange(0, 2).Draw(t, "how") {
		case 0:
			m.Merge([]*wire.Instance{instance(gone, StateGone, 2)}, 1, 2)
		case 1:
			m.RecordSelfReport(start, id, 7, true)
		case 2:
			m.MarkSuspect(start, id)
		}
		for r, old := range before {
			var want []core.InstanceID
			for _, o := range old {
				if o != id {
					want = append(want, o)
				}
			}
			if got := ids(m.Owners(start, r, n)); fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("owners of %s are %v, want %v", r, got, want)
			}
		}
	})
}

// Guards against entries that revert to an older revision when lists arrive out of order, twice or in part.
func TestMergeKeepsNewest(t *testing.T) {
	states := []string{StateLive, StateLeaving, StateGone}
	rapid.Check(t, func(t *rapid.T) {
		m := newMembership(1)
		newest := map[string]*wire.Instance{}
		for i := range rapid.IntRange(1, 60).Draw(t, "merges") {
			rev := rapid.Uint64Range(2, 30).Draw(t, "revision")
			e := instance(rapid.IntRange(1, 5).Draw(t, "instance"), states[rapid.IntRange(0, 2).Draw(t, "state")], rev)
			if old := newest[e.GetId()]; old != nil && old.GetRevision() == rev {
				e = old // an entry has one state per revision of the list
			}
			m.Merge([]*wire.Instance{e}, uint64(1000+i), uint64(1001+i))
			if old := newest[e.GetId()]; old == nil || old.GetRevision() < rev {
				newest[e.GetId()] = e
			}
		}
		got, _, _ := m.ChangesSince(1)
		for _, e := range got {
			if want := newest[e.GetId()]; want.GetState() != e.GetState() || want.GetRevision() != e.GetRevision() {
				t.Fatalf("entry %v, want %v", e, want)
			}
		}
		if len(got) != len(newest) || m.Revision() != 1 {
			t.Fatalf("%d entries at revision %d, want %d at 1: a partial list after a gap must not advance the revision", len(got), m.Revision(), len(newest))
		}
	})
}

// Guards against members that do not converge when they exchange changes in any order.
func TestChangesSinceConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newMembership(6), newMembership(6)
		changedAt, list := map[int]uint64{}, map[int]string{}
		for rev := uint64(2); rev < 12; rev++ {
			i := int(rev % 6)
			changedAt[i], list[i] = rev, rapid.SampledFrom([]string{StateLive, StateLeaving, StateGone}).Draw(t, "state")
			m := a
			if rapid.Bool().Draw(t, "second polls") {
				m = b
			}
			var changed []*wire.Instance
			for j, state := range list {
				if changedAt[j] > m.Revision() {
					// The platform's response has one revision for all entries.
					changed = append(changed, instance(j, state, rev))
				}
			}
			m.Merge(changed, m.Revision(), rev)
			if rapid.Bool().Draw(t, "exchange") {
				a.Merge(b.ChangesSince(a.Revision()))
				b.Merge(a.ChangesSince(b.Revision()))
			}
		}
		a.Merge(b.ChangesSince(a.Revision()))
		b.Merge(a.ChangesSince(b.Revision()))
		x, rx := a.ListedIDs()
		y, ry := b.ListedIDs()
		if fmt.Sprint(x, rx) != fmt.Sprint(y, ry) {
			t.Fatalf("fleets differ: %v at %d, %v at %d", x, rx, y, ry)
		}
	})
}

// TestOwnersByInstanceState guards against an owner that is leaving, gone or suspect, and against an instance that stays
// excluded after it restarted, was listed again or its suspicion ended.
func TestOwnersByInstanceState(t *testing.T) {
	report := func(run uint64, leaving bool) func(*Membership) {
		return func(m *Membership) { m.RecordSelfReport(start, "i001", run, leaving) }
	}
	list := func(state string, revision uint64) func(*Membership) {
		return func(m *Membership) { m.Merge([]*wire.Instance{instance(1, state, revision)}, m.Revision(), revision) }
	}
	tests := []struct {
		name  string
		steps []func(*Membership)
		after time.Duration
		owner bool
	}{
		{name: "live in the list", owner: true},
		{name: "reports that it leaves", steps: []func(*Membership){report(7, true)}},
		{name: "lagging list says live after its own report", steps: []func(*Membership){report(7, true), list(StateLive, 9)}},
		{name: "its digests arrive out of order", steps: []func(*Membership){report(7, true), report(7, false)}},
		{name: "restarts", steps: []func(*Membership){report(7, true), report(8, false)}, owner: true},
		{name: "restarts with its clock set back", steps: []func(*Membership){report(7, true), report(6, false)}, owner: true},
		{name: "leaving in the list", steps: []func(*Membership){list(StateLeaving, 2)}},
		{name: "gone and listed again", steps: []func(*Membership){report(7, true), list(StateGone, 2), list(StateLive, 3)}, owner: true},
		{name: "older list says live", steps: []func(*Membership){list(StateGone, 3), list(StateLive, 2)}},
		{name: "relayed report of an older run", steps: []func(*Membership){report(8, false), func(m *Membership) {
			m.RecordRelayedReport(start, &wire.Word{Id: "i001", Run: 7, Leaving: true})
		}}, owner: true},
		{name: "relayed report", steps: []func(*Membership){func(m *Membership) {
			m.RecordRelayedReport(start, &wire.Word{Id: "i001", Run: 7, Leaving: true})
		}}},
		{name: "suspect", steps: []func(*Membership){func(m *Membership) { m.MarkSuspect(start, "i001") }}, after: 4999 * time.Millisecond},
		{name: "suspicion expired", steps: []func(*Membership){func(m *Membership) {
			m.MarkSuspect(start, "i001")
		}}, after: 5 * time.Second, owner: true},
		{name: "fails again after its suspicion expired", steps: []func(*Membership){func(m *Membership) {
			m.MarkSuspect(start, "i001")
			m.MarkSuspect(start.Add(6*time.Second), "i001")
		}}, after: 15 * time.Second},
		{name: "fails again after it answered", steps: []func(*Membership){func(m *Membership) {
			m.MarkSuspect(start, "i001")
			m.ClearSuspicion("i001")
			m.MarkSuspect(start.Add(6*time.Second), "i001")
		}}, after: 11 * time.Second, owner: true},
		{name: "absent from a newer full list", steps: []func(*Membership){func(m *Membership) {
			m.Merge([]*wire.Instance{instance(0, StateLive, 2), instance(2, StateLive, 2)}, 0, 2)
		}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := newMembership(3)
			for _, step := range tt.steps {
				step(m)
			}
			owner := false
			for _, p := range m.Owners(start.Add(tt.after), "pool/1", 3) {
				owner = owner || p.ID == "i001"
			}
			is.Equal(owner, tt.owner)
		})
	}
}

// Guards against relays outside their failure domain and against members that select different relays.
func TestRelays(t *testing.T) {
	is := is.New(t)
	m := newMembership(12)
	relays := m.Relays(start, "zone-0", 2)
	is.Equal(len(relays), 2)
	for _, p := range relays {
		is.Equal(p.FailureDomain, core.FailureDomain("zone-0"))
	}
	other := New(core.Peer{ID: "i001", FailureDomain: "zone-1"}, time.Second)
	other.Merge(m.ChangesSince(0))
	is.Equal(other.Relays(start, "zone-0", 2), relays)
	m.MarkSuspect(start, relays[0].ID)
	m.MarkSuspect(start, relays[1].ID)
	is.Equal(len(m.Relays(start, "zone-0", 2)), 2)
	is.True(m.Relays(start, "zone-0", 2)[0] != relays[0])
}

// Guards against new calls to an endpoint that the list has as leaving, and against rejecting an address that a new
// endpoint reused.
func TestEndpointLeaving(t *testing.T) {
	is := is.New(t)
	m := newMembership(1)
	ep := func(id, state string, rev uint64) *wire.Instance {
		return &wire.Instance{Id: id, Address: "127.0.0.1:9", Kind: KindEndpoint, State: state, Revision: rev}
	}
	is.True(!m.EndpointLeaving("127.0.0.1:9"))
	m.Merge([]*wire.Instance{ep("e1", StateLive, 2)}, 1, 2)
	is.True(!m.EndpointLeaving("127.0.0.1:9"))
	m.Merge([]*wire.Instance{ep("e1", StateLeaving, 3)}, 2, 3)
	is.True(m.EndpointLeaving("127.0.0.1:9"))
	m.Merge([]*wire.Instance{ep("e1", StateGone, 4)}, 3, 4)
	is.True(m.EndpointLeaving("127.0.0.1:9"))
	m.Merge([]*wire.Instance{ep("e2", StateLive, 5)}, 4, 5)
	is.True(!m.EndpointLeaving("127.0.0.1:9"))
}

// Guards against unbounded growth by entries of instances that are gone.
func TestPrune(t *testing.T) {
	is := is.New(t)
	m := newMembership(2)
	for i := range uint64(3 * maxGoneEntries) {
		m.Merge([]*wire.Instance{{Id: fmt.Sprint("x", i), Kind: KindInstance, State: StateGone, Revision: i + 2}}, i+1, i+2)
	}
	is.True(len(m.entries) <= maxGoneEntries+2)
	entries, since, upTo := m.ChangesSince(1)
	is.Equal(since, uint64(0)) // the reader's revision is older than the retained entries, so it gets the full list
	is.Equal(len(entries), 2)
	is.Equal(upTo, uint64(3*maxGoneEntries+1))
}
