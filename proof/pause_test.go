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

// actionRecord returns the record of an idempotency key in the platform's store.
func (p *processFleet) actionRecord(key string) claim.Record {
	p.t.Helper()
	rec, err := p.ActionRecord(key)
	is.New(p.t).NoErr(err)
	return rec
}

// TestHolderPausedBeforeSend guards against a second run of a protected action, and against not_run reported for one that ran.
// The instance that claims the key is paused after the store has written the claim and before it answers, so before the
// instance sends the call.
func TestHolderPausedBeforeSend(t *testing.T) {
	p := startProcesses(t)
	holder, other := p.Instances[1], p.Instances[0]
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for _, tt := range []struct {
		name           string
		timeout        time.Duration
		deadlinePasses bool // reports whether the deadline passes during the pause
		otherClient    bool // reports whether another client sends the same key during the pause
	}{
		{name: "resumed before the deadline, another asks", timeout: 20 * time.Second, otherClient: true},
		{name: "resumed before the deadline, nobody asks", timeout: 20 * time.Second},
		{name: "resumed after the deadline, another asks", timeout: time.Second, deadlinePasses: true, otherClient: true},
		{name: "resumed after the deadline, nobody asks", timeout: time.Second, deadlinePasses: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			key := strings.ReplaceAll(tt.name, " ", "-")
			before, err := p.PlatformCounts()
			is.NoErr(err)
			is.NoErr(p.CallPlatformAdmin("hold_answers?prefix=actions/"))
			first := make(chan answer, 1)
			go func() { first <- caller.SendAction(c, holder.ClientAddress, key, tt.timeout) }()
			is.NoErr(fleet.Wait(startLimit, "claim written and its answer held back", func() bool {
				now, err := p.PlatformCounts()
				return err == nil && now.HeldAnswers > before.HeldAnswers
			}))
			is.NoErr(holder.Process.Signal(syscall.SIGSTOP))
			defer func() { _ = holder.Process.Signal(syscall.SIGCONT) }() // so that the next case can run after a failed one
			is.NoErr(fleet.Wait(startLimit, "holder stopped", func() bool { return procs.IsStopped(holder.Cmd) }))
			is.NoErr(p.CallPlatformAdmin("release_answers"))
			sendSameKey := func(want core.ErrorKind) {
				a := caller.SendAction(c, other.ClientAddress, key, tt.timeout)
				t.Logf("other client during the pause: %s", a)
				is.True(a.Err != nil)
				is.Equal(a.Err.Kind, want)
				is.Equal(a.Err.Run, core.ExecutionUnknown)
			}
			if tt.otherClient && !tt.deadlinePasses {
				sendSameKey(core.KindInProgress)
			}
			if tt.deadlinePasses {
				deadline := p.actionRecord(key).Deadline
				is.NoErr(fleet.Wait(startLimit, "deadline of the claim", func() bool { return time.Now().UnixMilli() > deadline }))
				if tt.otherClient {
					sendSameKey(core.KindOutcomeUnknown)
				}
			}
			is.Equal(p.runCount(key), int64(0))
			is.Equal(p.actionRecord(key).State, claim.StateClaimed)
			is.NoErr(holder.Process.Signal(syscall.SIGCONT))
			a := <-first
			t.Logf("holder's client: %s", a)
			want, runs := claim.StateDone, int64(1)
			if tt.deadlinePasses {
				want, runs = claim.StateNotRun, 0
			}
			is.NoErr(fleet.Wait(startLimit, "outcome recorded", func() bool { return p.actionRecord(key).State == want }))
			is.Equal(p.runCount(key), runs)
			is.Equal(a.Status == http.StatusOK, !tt.deadlinePasses)
			is.True(!tt.deadlinePasses || a.Err != nil && (a.Err.Run == core.NotExecuted || a.Err.Run == core.ExecutionUnknown))
			// A retry at another instance gets the recorded result, or runs an action that has not run yet.
			last := caller.SendAction(c, other.ClientAddress, key, 5*time.Second)
			is.Equal(last.Status, http.StatusOK)
			is.Equal(last.Header.Get("Snipeshed-Replayed") == "true", !tt.deadlinePasses)
			is.Equal(p.runCount(key), int64(1))
		})
	}
}

// TestApplicationPaused guards against taking a slow application for a dead connection: while its process is stopped for
// longer than detectBound, its kernel still acknowledges packets.
func TestApplicationPaused(t *testing.T) {
	is := is.New(t)
	p := startProcesses(t)
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	is.NoErr(p.ApplicationCmd.Process.Signal(syscall.SIGSTOP))
	is.NoErr(fleet.Wait(startLimit, "application stopped", func() bool { return procs.IsStopped(p.ApplicationCmd) }))
	got := make(chan answer, 1)
	go func() {
		got <- caller.SendAction(c, p.Instances[0].ClientAddress, "paused-application", 20*time.Second)
	}()
	select {
	case a := <-got:
		t.Errorf("answered while the application was stopped: %s", a)
	case <-time.After(detectBound + resumeSlack + time.Second):
	}
	is.NoErr(p.ApplicationCmd.Process.Signal(syscall.SIGCONT))
	is.Equal((<-got).Status, http.StatusOK)
	is.Equal(p.runCount("paused-application"), int64(1))
}

// TestEntryPaused guards against streams that lose or repeat tokens, or end without an accurate error, when the instance
// that serves their clients is paused and continues. It covers an entry that owns the pool and one that does not.
func TestEntryPaused(t *testing.T) {
	is := is.New(t)
	p := startProcesses(t, procs.WithRunnerArgs("--keep", "2s"))
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	is.NoErr(p.AwaitAnswers(c, startLimit))
	const pause = 5 * time.Second
	for _, entry := range []*procs.Instance{p.Instances[0], p.Instances[2]} { // by consistent hashing, instance 2 owns the pool
		var calls caller.Group
		for i := range 16 {
			// Half of the generations end during the pause and can no longer be resumed after it.
			calls.Go(c, entry.ClientAddress, chatRequest{OutputTokens: 200 + i%2*800, CallbackAt: 20})
		}
		calls.AwaitTokens()
		is.NoErr(entry.Process.Signal(syscall.SIGSTOP))
		time.Sleep(pause)
		is.NoErr(entry.Process.Signal(syscall.SIGCONT))
		results := calls.Wait()
		for i, r := range results {
			if i%2 == 1 {
				is.NoErr(caller.CheckComplete(r))
			}
			is.NoErr(caller.CheckCompleteOrError(r))
		}
		longest, _ := results.LongestGapAndDuration()
		t.Logf("entry %s: %d streams %v, longest gap %s", entry.ClientAddress, len(results), results.CountByOutcome(), longest)
		is.True(longest >= pause-time.Second && longest <= pause+detectBound+resumeSlack)
		is.NoErr(fleet.Wait(startLimit, "ready again", entry.Ready))
	}
}
