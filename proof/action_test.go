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

// TestProtectedActions guards against a second run of a protected action, and against not_run reported for one that ran.
func TestProtectedActions(t *testing.T) {
	t.Parallel()
	const (
		short = 600 * time.Millisecond
		long  = 5 * time.Second
	)
	tests := []struct {
		name string
		// fail starts the failure before the first call; heal ends it before the third.
		fail, heal func(tf *testFleet)
		timeout    time.Duration
		// during runs while the first call is open.
		during func(tf *testFleet)
		// runs is the expected number of runs; -1 stands for 0 or 1.
		runs int64
	}{
		{name: "no failure", timeout: long, runs: 1},
		{name: "answer of the claim lost", timeout: long, runs: 1, fail: func(tf *testFleet) { tf.Platform.LoseAnswers(1, "actions/") }},
		{name: "answers of claim and read back lost", timeout: long, runs: 1, fail: func(tf *testFleet) { tf.Platform.LoseAnswers(2, "actions/") }},
		{
			name: "store slower than the deadline", timeout: short, runs: -1,
			fail: func(tf *testFleet) { tf.Platform.SetDelay(900 * time.Millisecond) }, heal: func(tf *testFleet) { tf.Platform.SetDelay(0) },
		},
		{
			name: "store stops during the claim", timeout: short, runs: -1,
			fail: func(tf *testFleet) { tf.Platform.SetOutage(objs.OutageHang) }, heal: func(tf *testFleet) { tf.Platform.SetOutage(objs.OutageNone) },
		},
		{
			name: "store refuses", timeout: short, runs: -1,
			fail: func(tf *testFleet) { tf.Platform.SetOutage(objs.OutageRefuse) }, heal: func(tf *testFleet) { tf.Platform.SetOutage(objs.OutageNone) },
		},
		{
			name: "store stops between claim and record", timeout: short, runs: 1,
			fail: func(tf *testFleet) { tf.AppRunners[0].SetDelay(300 * time.Millisecond) },
			during: func(tf *testFleet) {
				time.Sleep(150 * time.Millisecond)
				tf.Platform.SetOutage(objs.OutageHang)
			},
			heal: func(tf *testFleet) { tf.Platform.SetOutage(objs.OutageNone) },
		},
		{name: "answer of the application lost", timeout: long, runs: 1, fail: func(tf *testFleet) { tf.AppRunners[0].LoseAnswers(1) }},
		{
			name: "application slower than the deadline", timeout: short, runs: 1,
			fail: func(tf *testFleet) { tf.AppRunners[0].SetDelay(1200 * time.Millisecond) }, heal: func(tf *testFleet) { tf.AppRunners[0].SetDelay(0) },
		},
		{
			name: "application refuses", timeout: short, runs: -1,
			fail: func(tf *testFleet) { tf.AppRunners[0].SetRefusing(true) }, heal: func(tf *testFleet) { tf.AppRunners[0].SetRefusing(false) },
		},
		{
			name: "instance killed during the call", timeout: long, runs: 1,
			fail: func(tf *testFleet) { tf.AppRunners[0].SetDelay(600 * time.Millisecond) },
			during: func(tf *testFleet) {
				time.Sleep(250 * time.Millisecond)
				_ = tf.Nodes[0].Kill() // closing the fleet reports an error
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			tf := startFleet(t)
			key := "key-" + caller.NewMark()
			runIfSet := func(f func(*testFleet)) {
				if f != nil {
					f(tf)
				}
			}
			runIfSet(tt.fail)
			var wg sync.WaitGroup
			wg.Go(func() { runIfSet(tt.during) })
			answers := []answer{tf.sendAction(tf.Nodes[0], key, tt.timeout)}
			wg.Wait()
			// Another client repeats the call at another instance during the failure, and twice after it.
			answers = append(answers, tf.sendAction(tf.Nodes[1], key, tt.timeout))
			runIfSet(tt.heal)
			time.Sleep(1500 * time.Millisecond) // lets the store's circuit breaker retry and delayed calls finish
			answers = append(answers, tf.sendAction(tf.Nodes[2], key, tt.timeout), tf.sendAction(tf.Nodes[1], key, tt.timeout))
			for i, a := range answers {
				t.Logf("call %d: %s %s", i, a, a.Body)
			}
			runs := tf.AppRunners[0].Runs(key)
			if err := caller.CheckRuns(key, runs, answers); err != nil {
				t.Error(err)
			}
			if tt.runs >= 0 && runs != tt.runs {
				t.Errorf("%d runs, want %d", runs, tt.runs)
			}
			for i, a := range answers[1:] {
				if tt.runs == 1 && a.NotRun() && a.Err.Kind != core.KindStoreDown {
					t.Errorf("call %d was reported as not_run after the action had run", i+1)
				}
			}
		})
	}
}

// TestStopDuringStoreOutage guards against an instance that does not stop while the store is down, and against a second run
// of an action whose outcome it could not record, or not_run reported for it.
func TestStopDuringStoreOutage(t *testing.T) {
	t.Parallel()
	const storeTimeout, actionStopLimit = 500 * time.Millisecond, 2 * time.Second
	for _, mode := range []objs.Outage{objs.OutageRefuse, objs.OutageHang} {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			tf := startFleet(t, fleet.WithSettings(func(s *conf.Settings) {
				s.StoreTimeoutMs, s.ActionStopMs = storeTimeout.Milliseconds(), new(actionStopLimit.Milliseconds())
			}))
			app, key := tf.AppRunners[0], "key-"+caller.NewMark()
			app.SetDelay(time.Second)
			first := make(chan answer, 1)
			go func() { first <- tf.sendAction(tf.Nodes[0], key, 5*time.Second) }()
			is.NoErr(fleet.Wait(startLimit, "the application has the call", func() bool { return app.Counts().Open == 1 }))
			tf.Platform.SetOutage(mode)
			is.Equal((<-first).Status, http.StatusOK)
			began := time.Now()
			is.NoErr(tf.Nodes[0].Stop())
			took := time.Since(began)
			t.Logf("stopped after %s", took)
			is.True(took <= actionStopLimit+storeTimeout+3*time.Second) // includes leave_delay_ms (0.3 s) and up to 2 s to close connections
			tf.Platform.SetOutage(objs.OutageNone)
			var last answer
			is.NoErr(fleet.Wait(ticketBound, "store used again", func() bool {
				last = tf.sendAction(tf.Nodes[1], key, 5*time.Second)
				return last.Err == nil || last.Err.Kind != core.KindStoreDown
			}))
			t.Logf("retry: %s", last)
			is.True(!last.NotRun())
			is.Equal(app.Runs(key), int64(1))
		})
	}
}

// TestSameKeyEverywhere guards against two instances that claim the same idempotency key, while answers of the store and the
// application are lost or delayed.
func TestSameKeyEverywhere(t *testing.T) {
	t.Parallel()
	const keys, callers = 40, 5
	tf := startFleet(t, fleet.WithSettings(func(s *conf.Settings) { s.StoreTimeoutMs = 300 }))
	r := rand.New(rand.NewPCG(7, 11))
	stop := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				tf.Platform.SetDelay(0)
				tf.AppRunners[0].SetDelay(0)
				return
			case <-time.After(40 * time.Millisecond):
			}
			switch i % 5 {
			case 0:
				tf.Platform.LoseAnswers(2, "actions/")
			case 1:
				tf.AppRunners[0].LoseAnswers(1)
			case 2:
				tf.Platform.SetDelay(350 * time.Millisecond)
			case 3:
				tf.Platform.SetDelay(0)
			case 4:
				tf.AppRunners[0].SetDelay(time.Duration(i%7) * 20 * time.Millisecond)
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
			calls.Go(func() { answers[i] = tf.sendAction(tf.Nodes[i%len(tf.Nodes)], key, timeout) })
		}
		calls.Wait()
		if k%4 == 0 {
			time.Sleep(100 * time.Millisecond)
		}
		for _, a := range answers {
			switch {
			case a.TransportErr != nil:
				kinds["broken"]++
			case a.Err != nil:
				kinds[string(a.Err.Kind)+" "+string(a.Err.Run)]++
			default:
				kinds[strconv.Itoa(a.Status)]++
			}
		}
		// Checks when the test ends, so that delayed runs are counted.
		t.Cleanup(func() {
			if err := caller.CheckRuns(key, tf.AppRunners[0].Runs(key), answers); err != nil {
				t.Error(err)
			}
		})
	}
	close(stop)
	faults.Wait()
	time.Sleep(time.Second) // calls whose client gave up may still run
	is.New(t).True(tf.AppRunners[0].Counts().MaxRuns <= 1)
	t.Logf("%d keys, %d calls: %v; runs %d", keys, keys*callers, kinds, tf.AppRunners[0].Counts().Total)
}
