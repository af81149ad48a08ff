package app_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"snipeshed/conf"
	"snipeshed/stand/fleet"
	"snipeshed/stand/runner"
	"snipeshed/wire"
)

const (
	burstEndpoints = 20
	burstSlots     = 3
)

// Guards against a burst of orders that exceeds the weight store's limit or costs many store writes.
func TestBurstOfLoads(t *testing.T) {
	is := is.New(t)
	f, err := fleet.New(fleet.WithSettings(func(cfg *conf.Settings) {
		cfg.WeightSlots, cfg.LoadPollMs, cfg.ReportLagMs = burstSlots, 100, 100
		cfg.LeaveDelayMs = proto.Int64(0)
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

	next := &wire.Ticket{Id: "burst", Author: "test", Comment: "new version", Base: ticket.GetNumber()}
	for _, item := range ticket.GetItems() {
		if e := item.GetEndpoint(); e.GetWanted() != nil {
			e.Wanted.Version = "2"
			next.Items = append(next.Items, item)
		}
	}
	writes := f.Platform.Counts().Puts
	start := time.Now()
	_, err = f.Nodes[0].Apply(context.Background(), next)
	is.NoErr(err)
	most, loads := 0, 0
	was := make([]bool, burstEndpoints)
	done := func() bool {
		now := 0
		for i, r := range f.Runners {
			loading := r.State().Loading
			if loading {
				now++
			}
			if loading && !was[i] {
				loads++
			}
			was[i] = loading
		}
		most = max(most, now)
		return loads >= burstEndpoints && now == 0 && slots(is, f) == 0
	}
	is.NoErr(fleet.Wait(60*time.Second, "all endpoints loaded and all slots free", done))
	spent := f.Platform.Counts().Puts - writes - 1 // without the ticket
	t.Logf("%d loads in %v, at most %d at once, %d store writes, %.2f per load, %d conflicts", loads, time.Since(start), most, spent,
		float64(spent)/float64(loads), f.Platform.Counts().Conflicts)
	is.Equal(loads, burstEndpoints)
	is.Equal(most, burstSlots)
	is.True(spent <= 3*burstEndpoints) // two writes, and room for conflicts
}

// slots returns how many slots are taken.
func slots(is *is.I, f *fleet.Fleet) int {
	o, ok := f.Platform.Get("weights/slots")
	if !ok {
		return 0
	}
	is.True(json.Valid(o.Value))
	return strings.Count(string(o.Value), `"nonce"`)
}
