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

// processes is a fleet of processes that ends with its test.
type processes struct {
	*procs.Fleet
	t *testing.T
}

func startProcesses(t *testing.T, opts ...procs.Option) *processes {
	t.Helper()
	f, err := procs.Start(t.TempDir(), opts...)
	is.New(t).NoErr(err)
	t.Cleanup(f.Close)
	t.Logf("ticket in force at all instances %s after the command began", f.Applied)
	return &processes{Fleet: f, t: t}
}

// runs returns how often the application ran a key.
func (p *processes) runs(key string) int64 {
	p.t.Helper()
	n, err := p.Runs(key)
	is.New(p.t).NoErr(err)
	return n
}

// TestProcesses guards against faults that only show between processes: a killed instance, and one that is paused while
// it owns a pool or holds the claim of a protected action.
func TestProcesses(t *testing.T) {
	is := is.New(t)
	p := startProcesses(t, procs.WithDelay(1500*time.Millisecond))
	ins := p.Instances
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	is.NoErr(p.AwaitAnswers(c, startLimit))

	// Under load: one instance is killed, another is paused for longer than a silent connection may stay unnoticed.
	// Clients keep to instance 0. By the hash, instance 2 owns the pool and instance 1 is the next owner.
	l := startLoad(t, caller.At(c, ins[0].Client), caller.WithClients(6), caller.WithOutput(150))
	time.Sleep(500 * time.Millisecond)
	is.NoErr(ins[2].Process.Kill())
	time.Sleep(2500 * time.Millisecond)
	var paused, after answer
	var side sync.WaitGroup
	side.Go(func() { paused = caller.Act(c, ins[1].Client, "paused-holder", 2*time.Second) })
	time.Sleep(500 * time.Millisecond) // the claim is written and the call sent, the answer still to come
	is.NoErr(ins[1].Process.Signal(syscall.SIGSTOP))
	side.Go(func() { after = caller.Act(c, ins[0].Client, "paused-holder", 2*time.Second) })
	time.Sleep(3500 * time.Millisecond)
	is.NoErr(ins[1].Process.Signal(syscall.SIGCONT))
	side.Wait()
	time.Sleep(time.Second)
	completed, _ := end(t, l)
	is.True(completed > 10)
	longest, _ := l.Results().Longest()
	t.Logf("longest gap between two tokens %s", longest)
	is.True(longest <= detect+resumeSlack)

	last := caller.Act(c, ins[0].Client, "paused-holder", 2*time.Second)
	runs := p.runs("paused-holder")
	t.Logf("paused holder: %s; second client: %s; third: %s; runs %d", paused, after, last, runs)
	is.Equal(runs, int64(1))
	for _, a := range []answer{after, last} {
		is.True(!a.NotRun())
	}

	// A planned stop ends the process by itself.
	is.NoErr(ins[1].Process.Signal(syscall.SIGTERM))
	is.NoErr(ins[1].Wait())
	is.True(fleet.Wait(ticketBound, "instance 1 gone", func() bool { return !ins[1].Ready() }) == nil)
	q := ask{Output: 5, Mark: caller.NewMark()}
	is.NoErr(caller.Chat(c, ins[0].Client, &q).Complete(q))
}
