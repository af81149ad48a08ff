package proof

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/claim"
	"snipeshed/stand/caller"
	"snipeshed/stand/fleet"
	"snipeshed/stand/procs"
)

// record returns the stored record of a key, as the platform has it.
func (p *processes) record(key string) claim.Record {
	p.t.Helper()
	rec, err := p.Record(key)
	is.New(p.t).NoErr(err)
	return rec
}

// TestHolderPausedBeforeSend guards against a second run, and against not_run told for a run, when the holder of a claim
// is paused after the claim's write took effect and before it learns of that, so certainly before it sends.
func TestHolderPausedBeforeSend(t *testing.T) {
	p := startProcesses(t)
	holder, other := p.Instances[1], p.Instances[0]
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for _, tt := range []struct {
		name    string
		timeout time.Duration
		lapse   bool // whether the deadline passes during the pause
		asked   bool // whether another client asks with the same key during the pause
	}{
		{name: "resumed before the deadline, another asks", timeout: 20 * time.Second, asked: true},
		{name: "resumed before the deadline, nobody asks", timeout: 20 * time.Second},
		{name: "resumed after the deadline, another asks", timeout: time.Second, lapse: true, asked: true},
		{name: "resumed after the deadline, nobody asks", timeout: time.Second, lapse: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			key := strings.ReplaceAll(tt.name, " ", "-")
			before, err := p.Counts()
			is.NoErr(err)
			is.NoErr(p.Admin("hold_answers?prefix=actions/"))
			first := make(chan answer, 1)
			go func() { first <- caller.Act(c, holder.Client, key, tt.timeout) }()
			is.NoErr(fleet.Wait(startLimit, "claim written and its answer held back", func() bool {
				now, err := p.Counts()
				return err == nil && now.HeldAnswers > before.HeldAnswers
			}))
			is.NoErr(holder.Process.Signal(syscall.SIGSTOP))
			defer func() { _ = holder.Process.Signal(syscall.SIGCONT) }() // for the scenarios after a failed one
			is.NoErr(fleet.Wait(startLimit, "holder stopped", func() bool { return procs.Stopped(holder.Cmd) }))
			is.NoErr(p.Admin("release_answers"))
			ask := func(want core.Kind) {
				a := caller.Act(c, other.Client, key, tt.timeout)
				t.Logf("asked during the pause: %s", a)
				is.True(a.Err != nil)
				is.Equal(a.Err.Kind, want)
				is.Equal(a.Err.Run, core.RunUnknown)
			}
			if tt.asked && !tt.lapse {
				ask(core.KindInProgress)
			}
			if tt.lapse {
				deadline := p.record(key).Deadline
				is.NoErr(fleet.Wait(startLimit, "deadline of the claim", func() bool { return time.Now().UnixMilli() > deadline }))
				if tt.asked {
					ask(core.KindOutcomeUnknown)
				}
			}
			is.Equal(p.runs(key), int64(0))
			is.Equal(p.record(key).State, claim.StateClaimed)
			is.NoErr(holder.Process.Signal(syscall.SIGCONT))
			a := <-first
			t.Logf("holder's client: %s", a)
			want, runs := claim.StateDone, int64(1)
			if tt.lapse {
				want, runs = claim.StateNotRun, 0
			}
			is.NoErr(fleet.Wait(startLimit, "outcome recorded", func() bool { return p.record(key).State == want }))
			is.Equal(p.runs(key), runs)
			is.Equal(a.Status == http.StatusOK, !tt.lapse)
			is.True(!tt.lapse || a.Err != nil && (a.Err.Run == core.RunNot || a.Err.Run == core.RunUnknown))
			// A retry elsewhere gets the recorded result, or is the one run of an action that was not run.
			last := caller.Act(c, other.Client, key, 5*time.Second)
			is.Equal(last.Status, http.StatusOK)
			is.Equal(last.Header.Get("Snipeshed-Replayed") == "true", !tt.lapse)
			is.Equal(p.runs(key), int64(1))
		})
	}
}

// TestApplicationPaused guards against a slow application that is taken for a dead connection: while its process is stopped
// for longer than a silent connection may stay unnoticed, its kernel still answers.
func TestApplicationPaused(t *testing.T) {
	is := is.New(t)
	p := startProcesses(t)
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	is.NoErr(p.App.Process.Signal(syscall.SIGSTOP))
	is.NoErr(fleet.Wait(startLimit, "application stopped", func() bool { return procs.Stopped(p.App) }))
	got := make(chan answer, 1)
	go func() { got <- caller.Act(c, p.Instances[0].Client, "paused-application", 20*time.Second) }()
	select {
	case a := <-got:
		t.Errorf("answered while the application was stopped: %s", a)
	case <-time.After(detect + resumeSlack + time.Second):
	}
	is.NoErr(p.App.Process.Signal(syscall.SIGCONT))
	is.Equal((<-got).Status, http.StatusOK)
	is.Equal(p.runs("paused-application"), int64(1))
}

// TestEntryPaused guards against streams that lose or repeat tokens, or end without an honest error, when the process
// that is their entry is paused and goes on: an entry that owns the pool and one that does not.
func TestEntryPaused(t *testing.T) {
	is := is.New(t)
	p := startProcesses(t, procs.WithRunnerArgs("--keep", "2s"))
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	is.NoErr(p.AwaitAnswers(c, startLimit))
	const pause = 5 * time.Second
	for _, entry := range []*procs.Instance{p.Instances[0], p.Instances[2]} { // by the hash, instance 2 owns the pool
		var calls caller.Group
		for i := range 16 {
			// Half of the generations end during the pause and can no longer be resumed after it.
			calls.Go(c, entry.Client, ask{Output: 200 + i%2*800, At: 20})
		}
		calls.AwaitTokens()
		is.NoErr(entry.Process.Signal(syscall.SIGSTOP))
		time.Sleep(pause)
		is.NoErr(entry.Process.Signal(syscall.SIGCONT))
		results := calls.Wait()
		for i, r := range results {
			if i%2 == 1 {
				is.NoErr(caller.IsComplete(r))
			}
			is.NoErr(caller.IsHonest(r))
		}
		longest, _ := results.Longest()
		t.Logf("entry %s: %d streams %v, longest gap %s", entry.Client, len(results), results.Kinds(), longest)
		is.True(longest >= pause-time.Second && longest <= pause+detect+resumeSlack)
		is.NoErr(fleet.Wait(startLimit, "ready again", entry.Ready))
	}
}
