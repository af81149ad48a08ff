package proof

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/claim"
	"snipeshed/stand/caller"
	"snipeshed/stand/fleet"
	"snipeshed/stand/objs"
	"snipeshed/stand/procs"
)

func (p *processes) admin(path string) {
	p.t.Helper()
	resp, err := http.Post("http://"+p.Platform+"/admin/"+path, "", nil)
	if err != nil || resp.StatusCode != http.StatusNoContent {
		p.t.Fatalf("admin call %s: %v", path, err)
	}
	resp.Body.Close()
}

// record returns the stored record of a key, as the platform has it.
func (p *processes) record(key string) claim.Record {
	p.t.Helper()
	sum := sha256.Sum256([]byte(key))
	var rec claim.Record
	getJSON(p.t, fmt.Sprintf("http://%s/v1/objects/actions/%s/fukuoka/%s", p.Platform, fleet.AppService, hex.EncodeToString(sum[:])), &rec)
	return rec
}

// stopped reports whether the kernel has stopped a process; SIGSTOP is delivered some time after kill returns.
func stopped(pid int) bool {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	return err == nil && bytes.Contains(b, []byte(") T "))
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
			var before, now objs.Counts
			getJSON(t, "http://"+p.Platform+"/admin/counts", &before)
			p.admin("hold_answers?prefix=actions/")
			first := make(chan answer, 1)
			go func() { first <- act(c, holder.Client, key, tt.timeout) }()
			is.NoErr(fleet.Wait(startLimit, "claim written and its answer held back", func() bool {
				getJSON(t, "http://"+p.Platform+"/admin/counts", &now)
				return now.HeldAnswers > before.HeldAnswers
			}))
			is.NoErr(holder.Process.Signal(syscall.SIGSTOP))
			defer func() { _ = holder.Process.Signal(syscall.SIGCONT) }() // for the scenarios after a failed one
			is.NoErr(fleet.Wait(startLimit, "holder stopped", func() bool { return stopped(holder.Process.Pid) }))
			p.admin("release_answers")
			ask := func(want core.Kind) {
				a := act(c, other.Client, key, tt.timeout)
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
			last := act(c, other.Client, key, 5*time.Second)
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
	is.NoErr(fleet.Wait(startLimit, "application stopped", func() bool { return stopped(p.App.Process.Pid) }))
	got := make(chan answer, 1)
	go func() { got <- act(c, p.Instances[0].Client, "paused-application", 20*time.Second) }()
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
	p.awaitAnswers(c)
	const pause = 5 * time.Second
	for _, entry := range []*procs.Instance{p.Instances[0], p.Instances[2]} { // by the hash, instance 2 owns the pool
		var calls, reading sync.WaitGroup
		asks, answers := make([]ask, 16), make([]answer, 16)
		for i := range asks {
			reading.Add(1)
			// Half of the generations end during the pause and can no longer be resumed after it.
			reads := sync.OnceFunc(reading.Done)
			asks[i] = ask{Output: 200 + i%2*800, Mark: caller.NewMark(), At: 20, Then: reads}
			calls.Go(func() {
				defer reads() // also when it failed early
				answers[i] = caller.Chat(c, entry.Client, &asks[i])
			})
		}
		reading.Wait()
		is.NoErr(entry.Process.Signal(syscall.SIGSTOP))
		time.Sleep(pause)
		is.NoErr(entry.Process.Signal(syscall.SIGCONT))
		calls.Wait()
		longest, kinds := time.Duration(0), map[string]int{}
		for i, a := range answers {
			if i%2 == 1 {
				is.NoErr(a.Complete(asks[i]))
			}
			is.NoErr(a.Honest(asks[i]))
			longest = max(longest, a.Gap)
			if a.Err != nil {
				kinds[string(a.Err.Kind)]++
			}
		}
		t.Logf("entry %s: %d streams, not complete %v, longest gap %s", entry.Client, len(answers), kinds, longest)
		is.True(longest >= pause-time.Second && longest <= pause+detect+resumeSlack)
		is.NoErr(fleet.Wait(startLimit, "ready again", entry.Ready))
	}
}
