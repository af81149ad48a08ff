package proof

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/stand/caller"
	"snipeshed/stand/fleet"
	"snipeshed/stand/procs"
)

// processFleet is a fleet of processes that is closed when its test ends.
type processFleet struct {
	*procs.Fleet
	t *testing.T
}

func startProcesses(t *testing.T, opts ...procs.Option) *processFleet {
	t.Helper()
	f, err := procs.Start(t.TempDir(), opts...)
	is.New(t).NoErr(err)
	t.Cleanup(f.Close)
	t.Logf("ticket in force at all instances %s after the command began", f.ApplyDuration)
	return &processFleet{Fleet: f, t: t}
}

// runCount returns how often the application ran the action with an idempotency key.
func (p *processFleet) runCount(key string) int64 {
	p.t.Helper()
	n, err := p.RunCount(key)
	is.New(p.t).NoErr(err)
	return n
}

// TestProcesses guards against faults that need separate processes: an instance that is killed, and one that is paused while
// it owns a pool or holds the claim on a protected action's key.
func TestProcesses(t *testing.T) {
	is := is.New(t)
	p := startProcesses(t, procs.WithApplicationDelay(1500*time.Millisecond))
	ins := p.Instances
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	is.NoErr(p.AwaitAnswers(c, startLimit))

	// Under load, one instance is killed and another is paused for longer than detectBound.
	// All clients use instance 0. By consistent hashing, instance 2 owns the pool and instance 1 is the next owner.
	l := startLoad(t, caller.FixedAddress(c, ins[0].ClientAddress), caller.WithClients(6), caller.WithMinOutputTokens(150))
	time.Sleep(500 * time.Millisecond)
	is.NoErr(ins[2].Process.Kill())
	time.Sleep(2500 * time.Millisecond)
	var paused, second answer
	var wg sync.WaitGroup
	wg.Go(func() { paused = caller.SendAction(c, ins[1].ClientAddress, "paused-holder", 2*time.Second) })
	time.Sleep(500 * time.Millisecond) // the claim is written and the call sent, but not answered
	is.NoErr(ins[1].Process.Signal(syscall.SIGSTOP))
	wg.Go(func() { second = caller.SendAction(c, ins[0].ClientAddress, "paused-holder", 2*time.Second) })
	time.Sleep(3500 * time.Millisecond)
	is.NoErr(ins[1].Process.Signal(syscall.SIGCONT))
	wg.Wait()
	time.Sleep(time.Second)
	completed, _ := endLoad(t, l)
	is.True(completed > 10)
	longest, _ := l.Results().LongestGapAndDuration()
	t.Logf("longest gap between two tokens %s", longest)
	is.True(longest <= detectBound+resumeSlack)

	third := caller.SendAction(c, ins[0].ClientAddress, "paused-holder", 2*time.Second)
	runs := p.runCount("paused-holder")
	t.Logf("paused holder: %s; second client: %s; third: %s; runs %d", paused, second, third, runs)
	is.Equal(runs, int64(1))
	for _, a := range []answer{second, third} {
		is.True(!a.NotRun())
	}

	// On SIGTERM the process drains and exits by itself.
	is.NoErr(ins[1].Process.Signal(syscall.SIGTERM))
	is.NoErr(ins[1].Wait())
	is.True(fleet.Wait(ticketBound, "instance 1 gone", func() bool { return !ins[1].Ready() }) == nil)
	q := chatRequest{OutputTokens: 5, Mark: caller.NewMark()}
	is.NoErr(caller.Chat(c, ins[0].ClientAddress, &q).CheckComplete(q))
}
