package proof

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/stand/caller"
	"snipeshed/stand/fleet"
	"snipeshed/stand/objs"
)

// TestProtectedActions guards against a second run of a protected action, and against not_run told for one that ran.
func TestProtectedActions(t *testing.T) {
	t.Parallel()
	const (
		short = 600 * time.Millisecond
		long  = 5 * time.Second
	)
	tests := []struct {
		name string
		// fail begins the failure before the first call; heal ends it before the second.
		fail, heal func(w *world)
		timeout    time.Duration
		// during runs while the first call is open.
		during func(w *world)
		// runs is the number of runs in the end, or -1 for 0 or 1.
		runs int64
	}{
		{name: "no failure", timeout: long, runs: 1},
		{name: "answer of the claim lost", timeout: long, runs: 1, fail: func(w *world) { w.Platform.LoseAnswers(1, "actions/") }},
		{name: "answers of claim and read back lost", timeout: long, runs: 1, fail: func(w *world) { w.Platform.LoseAnswers(2, "actions/") }},
		{
			name: "store slower than the deadline", timeout: short, runs: -1,
			fail: func(w *world) { w.Platform.Slow(900 * time.Millisecond) }, heal: func(w *world) { w.Platform.Slow(0) },
		},
		{
			name: "store stops during the claim", timeout: short, runs: -1,
			fail: func(w *world) { w.Platform.SetOutage(objs.OutageHang) }, heal: func(w *world) { w.Platform.SetOutage(objs.OutageNone) },
		},
		{
			name: "store refuses", timeout: short, runs: -1,
			fail: func(w *world) { w.Platform.SetOutage(objs.OutageRefuse) }, heal: func(w *world) { w.Platform.SetOutage(objs.OutageNone) },
		},
		{
			name: "store stops between claim and record", timeout: short, runs: 1,
			fail: func(w *world) { w.Services[0].Slow(300 * time.Millisecond) },
			during: func(w *world) {
				time.Sleep(150 * time.Millisecond)
				w.Platform.SetOutage(objs.OutageHang)
			},
			heal: func(w *world) { w.Platform.SetOutage(objs.OutageNone) },
		},
		{name: "answer of the application lost", timeout: long, runs: 1, fail: func(w *world) { w.Services[0].LoseAnswers(1) }},
		{
			name: "application slower than the deadline", timeout: short, runs: 1,
			fail: func(w *world) { w.Services[0].Slow(1200 * time.Millisecond) }, heal: func(w *world) { w.Services[0].Slow(0) },
		},
		{
			name: "application refuses", timeout: short, runs: -1,
			fail: func(w *world) { w.Services[0].SetRefuse(true) }, heal: func(w *world) { w.Services[0].SetRefuse(false) },
		},
		{
			name: "instance killed during the call", timeout: long, runs: 1,
			fail: func(w *world) { w.Services[0].Slow(600 * time.Millisecond) },
			during: func(w *world) {
				time.Sleep(250 * time.Millisecond)
				_ = w.Nodes[0].Kill() // its end is checked at the end of the test
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := start(t)
			key := "key-" + caller.NewMark()
			do := func(f func(*world)) {
				if f != nil {
					f(w)
				}
			}
			do(tt.fail)
			var side sync.WaitGroup
			side.Go(func() { do(tt.during) })
			answers := []answer{w.act(w.Nodes[0], key, tt.timeout)}
			side.Wait()
			// A second client repeats the call elsewhere while the failure lasts, and twice after it.
			answers = append(answers, w.act(w.Nodes[1], key, tt.timeout))
			do(tt.heal)
			time.Sleep(1500 * time.Millisecond) // the store breaker's retry and what was still on its way
			answers = append(answers, w.act(w.Nodes[2], key, tt.timeout), w.act(w.Nodes[1], key, tt.timeout))
			for i, a := range answers {
				t.Logf("call %d: %s %s", i, a, a.Body)
			}
			runs := w.Services[0].Runs(key)
			if err := caller.CheckRuns(key, runs, answers); err != nil {
				t.Error(err)
			}
			if tt.runs >= 0 && runs != tt.runs {
				t.Errorf("%d runs, want %d", runs, tt.runs)
			}
			for i, a := range answers[1:] {
				if tt.runs == 1 && a.NotRun() && a.Err.Kind != core.KindStoreDown {
					t.Errorf("call %d was told not_run after the action had run", i+1)
				}
			}
		})
	}
}

// TestStopDuringStoreOutage guards against an instance that does not stop while the store is down, and against a second run
// or not_run told for the action whose outcome it could not record.
func TestStopDuringStoreOutage(t *testing.T) {
	t.Parallel()
	const storeTimeout, stopLimit = 500 * time.Millisecond, 2 * time.Second
	for _, mode := range []objs.Outage{objs.OutageRefuse, objs.OutageHang} {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := start(t, fleet.WithSettings(func(s *conf.Settings) {
				s.StoreTimeoutMs, s.ActionStopMs = storeTimeout.Milliseconds(), new(stopLimit.Milliseconds())
			}))
			app, key := w.Services[0], "key-"+caller.NewMark()
			app.Slow(time.Second)
			first := make(chan answer, 1)
			go func() { first <- w.act(w.Nodes[0], key, 5*time.Second) }()
			is.NoErr(fleet.Wait(startLimit, "the application has the call", func() bool { return app.Counts().Open == 1 }))
			w.Platform.SetOutage(mode)
			is.Equal((<-first).Status, http.StatusOK)
			began := time.Now()
			is.NoErr(w.Nodes[0].Stop())
			took := time.Since(began)
			t.Logf("stopped after %s", took)
			is.True(took <= stopLimit+storeTimeout+3*time.Second) // with leave_delay_ms (0.3 s) and up to 2 s for the end of connections
			w.Platform.SetOutage(objs.OutageNone)
			var last answer
			is.NoErr(fleet.Wait(ticketBound, "store used again", func() bool {
				last = w.act(w.Nodes[1], key, 5*time.Second)
				return last.Err == nil || last.Err.Kind != core.KindStoreDown
			}))
			t.Logf("retry: %s", last)
			is.True(!last.NotRun())
			is.Equal(app.Runs(key), int64(1))
		})
	}
}

// TestSameKeyEverywhere guards against two holders of one key, while answers of store and application are lost at random.
func TestSameKeyEverywhere(t *testing.T) {
	t.Parallel()
	const keys, callers = 40, 5
	w := start(t, fleet.WithSettings(func(s *conf.Settings) { s.StoreTimeoutMs = 300 }))
	r := rand.New(rand.NewPCG(7, 11))
	stop := make(chan struct{})
	var chaos sync.WaitGroup
	chaos.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				w.Platform.Slow(0)
				w.Services[0].Slow(0)
				return
			case <-time.After(40 * time.Millisecond):
			}
			switch i % 5 {
			case 0:
				w.Platform.LoseAnswers(2, "actions/")
			case 1:
				w.Services[0].LoseAnswers(1)
			case 2:
				w.Platform.Slow(350 * time.Millisecond)
			case 3:
				w.Platform.Slow(0)
			case 4:
				w.Services[0].Slow(time.Duration(i%7) * 20 * time.Millisecond)
			}
		}
	})
	kinds := map[string]int{}
	for k := range keys {
		key := fmt.Sprintf("shared-%d", k)
		answers := make([]answer, callers)
		var calls sync.WaitGroup
		for i := range answers {
			timeout := time.Duration(200+r.IntN(400)) * time.Millisecond
			calls.Go(func() { answers[i] = w.act(w.Nodes[i%len(w.Nodes)], key, timeout) })
		}
		calls.Wait()
		if k%4 == 0 {
			time.Sleep(100 * time.Millisecond)
		}
		for _, a := range answers {
			switch {
			case a.Broken != nil:
				kinds["broken"]++
			case a.Err != nil:
				kinds[string(a.Err.Kind)+" "+string(a.Err.Run)]++
			default:
				kinds[strconv.Itoa(a.Status)]++
			}
		}
		// What runs late must still be found by the check below.
		t.Cleanup(func() {
			if err := caller.CheckRuns(key, w.Services[0].Runs(key), answers); err != nil {
				t.Error(err)
			}
		})
	}
	close(stop)
	chaos.Wait()
	time.Sleep(time.Second) // calls that were cut off may still run
	is.New(t).True(w.Services[0].Counts().MaxRuns <= 1)
	t.Logf("%d keys, %d calls: %v; runs %d", keys, keys*callers, kinds, w.Services[0].Counts().Total)
}
