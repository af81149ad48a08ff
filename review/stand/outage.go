package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"snipeshed/stand/plat"
)

const (
	outageCycles = 4
	// outageTime is for_s of platform_down for all machines on the site's sheet.
	outageTime = 4500 * time.Millisecond
	// stableTime is contact_ms after the end of the outage, and a little more.
	stableTime    = 3100 * time.Millisecond
	outageCallers = 8
	// exitTime is the time for which a runner goes on after the store has accepted its removal: drain_ms and a little longer.
	exitTime   = drainTime + 60*time.Millisecond
	outageWork = 30 * time.Millisecond
)

// leavingRunner is a runner of an application service that leaves without reporting draining.
type leavingRunner struct {
	*bed
	id, address string
	broken      *atomic.Int64
	server      *http.Server

	mu        sync.Mutex
	removedAt time.Time // when the store acknowledged the removal of its entry
	left      bool
}

func addLeavingRunner(b *bed, i int, broken *atomic.Int64) (*leavingRunner, error) {
	ln, err := listen()
	if err != nil {
		return nil, err
	}
	r := &leavingRunner{bed: b, id: fmt.Sprintf("i-app-%d", i), address: ln.Addr().String(), broken: broken}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(ln) }() // ends with leave
	b.store.Put("servers", r.id, entry("swap-app", r.address, "ready", 6, time.Now()))
	return r, nil
}

// ServeHTTP runs a request and records one that arrives too late.
func (r *leavingRunner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	attempt := req.Header.Get("Snipeshed-Attempt-Id")
	w.Header().Set("Snipeshed-Attempt-Id", attempt)
	r.mu.Lock()
	removedAt := r.removedAt
	r.mu.Unlock()
	if expect := req.Header.Get("Snipeshed-Expect-Instance"); expect != "" && expect != r.id {
		w.Header().Set("Snipeshed-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !removedAt.IsZero() {
		if late := time.Since(removedAt); late > drainTime {
			r.broken.Add(1)
			r.logf("BROKEN: %s reaches %s %d ms after the store acknowledged that it is gone", attempt, r.id, late.Milliseconds())
		}
	}
	time.Sleep(outageWork)
	r.mu.Lock()
	left := r.left
	r.mu.Unlock()
	if left {
		r.logf("%s is cut off at %s, whose process ends", attempt, r.id)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Snipeshed-Server-Seal", "seal-"+r.id)
	fmt.Fprintf(w, "done %s", attempt)
}

// leave removes the runner's entry; the runner goes on for drain_ms and a little longer.
func (r *leavingRunner) leave() {
	r.store.Remove("servers", r.id)
	r.mu.Lock()
	r.removedAt = time.Now()
	r.mu.Unlock()
	r.logf("%s is gone from the store", r.id)
	time.Sleep(exitTime)
	r.mu.Lock()
	r.left = true
	r.mu.Unlock()
	_ = r.server.Close() // the process ends
	r.logf("%s has left", r.id)
}

// runOutageExit replaces runners that never report draining, each some seconds after an outage of the store.
func runOutageExit(b *bed) (held bool, err error) {
	var broken atomic.Int64
	var all []*leavingRunner
	for i := range 3 {
		r, err := addLeavingRunner(b, i+1, &broken)
		if err != nil {
			return false, err
		}
		all = append(all, r)
	}
	b.configure([]any{route("confirm", "non_idempotent", "swap-app", 1000, 150, 1)}, []any{appService()})
	if err := b.addInstances(3, 120); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	done := make(chan struct{})
	var g sync.WaitGroup
	for c := range outageCallers {
		g.Go(func() { b.callUntil(done, b.instances[c%3], fmt.Sprintf("0e%02x", c)) })
	}
	for cycle := range outageCycles {
		if b.trouble {
			b.logf("the store is down")
			b.store.SetFault(plat.FaultNoAnswer)
		}
		time.Sleep(outageTime)
		if b.trouble {
			b.store.SetFault(plat.FaultNone)
			b.logf("the store is back")
		}
		r, err := addLeavingRunner(b, 4+cycle, &broken)
		if err != nil {
			return false, err
		}
		time.Sleep(stableTime)
		all[0].leave()
		all = append(all[1:], r)
		time.Sleep(time.Second)
	}
	close(done)
	g.Wait()
	b.logf("%d requests reached a runner later than drain_ms after it was gone", broken.Load())
	return broken.Load() == 0, nil
}

// callUntil sends ordinary requests, one after the other, until done is closed.
func (b *bed) callUntil(done <-chan struct{}, in *instance, prefix string) {
	c := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{}}
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		attempt := fmt.Sprintf("%s%04x", prefix, n)
		if status := b.sendConfirm(c, in, attempt); status != http.StatusOK {
			b.logf("%s: status %d (0: no answer)", attempt, status)
		}
	}
}
