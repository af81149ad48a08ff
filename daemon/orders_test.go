package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/io/weight"
	"snipeshed/stand/fleet"
	"snipeshed/stand/objs"
	"snipeshed/stand/runner"
	"snipeshed/wire"
)

const (
	burstEndpoints = 20
	burstSlots     = 3
)

// Guards against a burst of orders that exceeds the limit of the weight store or needs too many store writes, also while
// responses of the object API are lost, while it is down and while an owner stops.
func TestBurstOfLoads(t *testing.T) {
	for name, fault := range map[string]func(f *fleet.Fleet) (stopped core.InstanceID){
		"the owner of a pool stops": func(f *fleet.Fleet) core.InstanceID {
			owner := f.Nodes[0].PoolOwner(fleet.Model + "/0")
			i := slices.IndexFunc(f.Nodes, func(n *fleet.Node) bool { return n.ID == owner })
			time.AfterFunc(time.Second, func() { _ = f.Nodes[i].Stop() }) // Close returns the same error
			return owner
		},
		"no fault": func(*fleet.Fleet) core.InstanceID { return "" },
		"ten lost answers": func(f *fleet.Fleet) core.InstanceID {
			f.Platform.LoseAnswers(10, "weights/")
			return ""
		},
		"outage of 1.5 s": func(f *fleet.Fleet) core.InstanceID {
			time.AfterFunc(500*time.Millisecond, func() { f.Platform.SetOutage(objs.OutageRefuse) })
			time.AfterFunc(2*time.Second, func() { f.Platform.SetOutage(objs.OutageNone) })
			return ""
		},
	} {
		t.Run(name, func(t *testing.T) { runBurst(t, fault) })
	}
}

func runBurst(t *testing.T, fault func(f *fleet.Fleet) core.InstanceID) {
	is := is.New(t)
	f, err := fleet.New(fleet.WithSettings(func(cfg *conf.Settings) {
		cfg.WeightSlots, cfg.LoadPollMs, cfg.ReportLagMs = burstSlots, 100, 100
		cfg.LeaveDelayMs, cfg.WeightLeaseMs = proto.Int64(0), 3000
	}))
	is.NoErr(err)
	defer func() { is.NoErr(f.Close()) }()
	for range burstEndpoints {
		_, err := f.AddRunner(runner.WithModel(fleet.Model, "1"), runner.WithRole(""), runner.WithLoadLag(50*time.Millisecond),
			runner.WithLoadTime(300*time.Millisecond))
		is.NoErr(err)
	}
	for range 3 {
		_, err := f.AddNode()
		is.NoErr(err)
	}
	is.NoErr(f.WaitReady(10 * time.Second))
	ticket, err := f.Nodes[0].Apply(context.Background(), f.Ticket())
	is.NoErr(err)
	is.NoErr(f.WaitAccepting(10*time.Second, burstEndpoints))
	next, err := f.Nodes[0].Apply(context.Background(), newVersionTicket(ticket))
	is.NoErr(err)
	is.NoErr(f.WaitTicket(10*time.Second, next.GetNumber()))
	start := time.Now()
	stopped := fault(f)
	l := loadCounter{f: f, wasLoading: make([]bool, burstEndpoints), owners: map[string]core.InstanceID{}}
	is.NoErr(fleet.Wait(60*time.Second, "all endpoints loaded", l.poll))
	// The slots of a stopped owner's running loads end with their leases; all other slots are released.
	is.NoErr(fleet.Wait(10*time.Second, "slots free", func() bool {
		return !slices.ContainsFunc(f.Nodes, func(n *fleet.Node) bool { return n.ID != stopped && slotsHeldBy(is, f, n.ID) > 0 })
	}))
	var taken, renewed, unused int64
	for _, n := range f.Nodes {
		taken += n.Meter().CounterValue(weight.CountTaken)
		renewed += n.Meter().CounterValue(weight.CountRenewed)
		unused += n.Meter().CounterValue(weight.CountUnused)
	}
	c := f.Platform.Counts()
	spent := int64(c.Revision) - int64(next.GetNumber())
	t.Logf("%d loads in %v, at most %d at once; %d store writes, %.2f per load; %d slots taken, %d renewed, %d unused; %d views of owners changed; %d conflicts, %d lost answers, %d refused calls",
		l.loads, time.Since(start), l.maxAtOnce, spent, float64(spent)/float64(l.loads), taken, renewed, unused, l.ownerChanges, c.Conflicts, c.LostAnswers, c.Refused)
	is.Equal(l.loads, burstEndpoints)
	is.Equal(l.maxAtOnce, burstSlots)
	is.True(spent <= 2*burstEndpoints) // successful writes: one to acquire a slot and one to release it
	is.True(c.Conflicts <= burstEndpoints)
}

func newVersionTicket(t *wire.Ticket) *wire.Ticket {
	next := &wire.Ticket{Id: "burst", Author: "test", Comment: "new version", Base: t.GetNumber()}
	for _, item := range t.GetItems() {
		if e := item.GetEndpoint(); e.GetWanted() != nil {
			e.Wanted.Version = "2"
			next.Items = append(next.Items, item)
		}
	}
	return next
}

// loadCounter counts the loads and the maximum number of concurrent ones.
type loadCounter struct {
	f                *fleet.Fleet
	wasLoading       []bool
	maxAtOnce, loads int
	// owners maps each instance and pool to the owner in the view of that instance; ownerChanges counts changes of these
	// views, each of which may cause writes.
	owners       map[string]core.InstanceID
	ownerChanges int
}

// poll updates the counts and reports whether every endpoint has loaded.
func (l *loadCounter) poll() bool {
	now := 0
	for i, r := range l.f.Runners {
		loading := r.State().Loading
		if loading {
			now++
		}
		if loading && !l.wasLoading[i] {
			l.loads++
		}
		l.wasLoading[i] = loading
	}
	for _, n := range l.f.Nodes {
		for _, pool := range []core.PoolID{fleet.Model + "/0", fleet.Model + "/1"} {
			view, owner := fmt.Sprint(n.ID, pool), n.PoolOwner(pool)
			if was := l.owners[view]; was != "" && was != owner {
				l.ownerChanges++
			}
			l.owners[view] = owner
		}
	}
	l.maxAtOnce = max(l.maxAtOnce, now)
	return l.loads >= burstEndpoints && now == 0
}

// slotsHeldBy returns the number of slots that an instance holds.
func slotsHeldBy(is *is.I, f *fleet.Fleet, holder core.InstanceID) int {
	o, ok := f.Platform.Get("weights/slots")
	if !ok {
		return 0
	}
	is.True(json.Valid(o.Value))
	return strings.Count(string(o.Value), `"holder":"`+string(holder)+`"`)
}
