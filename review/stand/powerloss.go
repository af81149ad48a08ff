package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// darkInstances are the 18 machines of the site and its 6 spare ones, which add_nodes adds.
	darkInstances = 24
	darkRounds    = 3
	// darkShare is the share of the machines that node_kill with power takes, and darkTime the time for which they are dark.
	darkShare = 0.16
	darkTime  = 3500 * time.Millisecond
	// applyTime is config_apply_ms.
	applyTime = 2 * time.Second
	// judgedTime is the time after applyTime in which requests are checked.
	judgedTime = time.Second
	darkKeys   = 4
	// usualPause is the time between two requests of the usual traffic at one instance.
	usualPause = 100 * time.Millisecond
)

// keyRunner is a runner of an application service that records which requests it runs.
type keyRunner struct {
	*bed
	runs *runLog
}

// ServeHTTP runs a request.
func (r *keyRunner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	attempt := req.Header.Get("Snipeshed-Attempt-Id")
	r.runs.add(attempt, "i-app-1")
	w.Header().Set("Snipeshed-Attempt-Id", attempt)
	w.Header().Set("Snipeshed-Server-Seal", "seal-i-app-1")
	fmt.Fprintf(w, "done %s", attempt)
}

// keyConfig is a version of the configuration in which a tenant holds the keys from first on.
func (b *bed) keyConfig(version, first int) {
	var keys []string
	for i := first; i < darkKeys; i++ {
		keys = append(keys, fmt.Sprintf("key%d", i))
	}
	b.store.Put("config", "main", map[string]any{
		"version": version, "routes": []any{route("book", "non_idempotent", "swap-app", 1500, 150, 1)}, "services": []any{appService()},
		"tenants": []any{map[string]any{"name": "huka270", "api_keys": keys}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// watching reports whether the instance has begun to watch the store, by its log.
func (in *instance) watching() bool {
	text, err := os.ReadFile(filepath.Join(in.bed.dir, in.name+".log"))
	return err == nil && bytes.Contains(text, []byte("msg=watch_began")) && !bytes.Contains(text, []byte("msg=watch_ended"))
}

// chooseDark chooses the machines that lose power: those that watch the store among them.
func (b *bed) chooseDark() (killed, others []*instance) {
	n := int(darkShare * float64(len(b.instances)))
	for _, in := range b.instances {
		if in.watching() {
			killed = append(killed, in)
		} else {
			others = append(others, in)
		}
	}
	more := n - len(killed)
	return append(killed, others[:more]...), others[more:]
}

// runPowerLoss withdraws a key right after three machines have lost power, and uses it at the others once the change must be in force.
func runPowerLoss(b *bed) (held bool, err error) {
	runs := &runLog{runs: map[string][]string{}}
	ln, err := listen()
	if err != nil {
		return false, err
	}
	go func() { _ = http.Serve(ln, &keyRunner{bed: b, runs: runs}) }() // ends with the program
	b.store.Put("servers", "i-app-1", entry("swap-app", ln.Addr().String(), "ready", 6, b.begun))
	b.keyConfig(1, 0)
	if err := b.addInstances(darkInstances, 206); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	killed, others := b.chooseDark()
	done := make(chan struct{})
	var usual sync.WaitGroup
	for i, in := range b.instances {
		usual.Go(func() { b.useValidKey(in, fmt.Sprintf("ee%02x", i), done) })
	}
	defer usual.Wait()
	defer close(done)
	var broken atomic.Int64
	for round := range darkRounds {
		if b.trouble {
			for _, in := range killed {
				in.kill()
			}
		}
		b.keyConfig(10*(round+1), round+1)
		acked := time.Now()
		b.logf("version %d without key%d is acknowledged", 10*(round+1), round)
		var g sync.WaitGroup
		for i, in := range others {
			g.Go(func() {
				broken.Add(b.useWithdrawnKey(in, acked, fmt.Sprintf("%02x%02x", round, i), fmt.Sprintf("key%d", round), runs))
			})
		}
		if b.trouble {
			time.Sleep(time.Until(acked.Add(darkTime)))
			for _, in := range killed {
				if err := in.start(); err != nil {
					return false, err
				}
			}
		}
		g.Wait()
		time.Sleep(8 * time.Second)
	}
	b.logf("%d requests ran with a key that had been withdrawn more than config_apply_ms before", broken.Load())
	return broken.Load() == 0, nil
}

// kill ends the process at once.
func (in *instance) kill() { in.stop(syscall.SIGKILL) }

// useValidKey sends requests with the last key, which is never withdrawn, one after the other.
func (b *bed) useValidKey(in *instance, prefix string, done <-chan struct{}) {
	c := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{}}
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(usualPause):
		}
		if resp, err := b.book(c, in, fmt.Sprintf("%s%04x", prefix, n), fmt.Sprintf("key%d", darkKeys-1)); err == nil {
			resp.Body.Close()
		}
	}
}

// book sends a request of the route book with a key.
func (b *bed) book(c *http.Client, in *instance, attempt, key string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+in.front()+"/book/"+attempt, http.NoBody)
	if err != nil {
		return nil, err
	}
	req.Host = "a.example"
	req.Header.Set("Snipeshed-Attempt-Id", attempt)
	req.Header.Set("Snipeshed-Deadline-Ms", "1500")
	req.Header.Set("Api-Key", key)
	return c.Do(req)
}

// useWithdrawnKey sends requests with a key from applyTime after its withdrawal on, and returns how many of them ran.
func (b *bed) useWithdrawnKey(in *instance, acked time.Time, prefix, key string, runs *runLog) (ran int64) {
	c := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{}}
	time.Sleep(time.Until(acked.Add(applyTime + 10*time.Millisecond)))
	for n := 0; time.Since(acked) < applyTime+judgedTime; n++ {
		attempt := fmt.Sprintf("%s%02x", prefix, n)
		sent := time.Since(acked)
		resp, err := b.book(c, in, attempt, key)
		if err != nil {
			b.logf("%s at %s: %v", attempt, in.name, err)
			continue
		}
		resp.Body.Close()
		if len(runs.of(attempt)) > 0 {
			b.logf("BROKEN: %s, sent to %s %d ms after the withdrawal of %s was acknowledged, is run: status %d",
				attempt, in.name, sent.Milliseconds(), key, resp.StatusCode)
			ran++
		}
		time.Sleep(40 * time.Millisecond)
	}
	return ran
}
