package main

import (
	"net/http"
	"sync"
	"time"
)

// Bounds of the site.
const (
	evacuateBound = 5 * time.Second
	contactTime   = 4 * time.Second
	// maxStretch is added to the bound of an evacuation while the store is unstable; it is stable when the case evacuates.
	maxStretch = 6 * time.Second
)

// playRewind checks that no request reaches a runner in an evacuated zone, after the store has come back from a copy.
func playRewind(w *world) (bool, error) {
	w.site = geefhuis
	zones := w.zones
	w.putConfig(7)
	for _, zone := range zones {
		for _, n := range []string{"1", "2"} {
			r := &runner{id: "i-" + zone + "-" + n, service: appService, zone: zone, slots: 6, workTime: 30 * time.Millisecond}
			if err := w.addRunner(r); err != nil {
				return false, err
			}
		}
	}
	if err := w.startInstances(3, "EVACUATION_TIMEOUT_MS=5000", "COLD_EXCESS=1.5", "COLD_SLACK=5"); err != nil {
		return false, err
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	stop := w.startLookups(20 * time.Millisecond)
	defer stop()
	time.Sleep(5 * time.Second)

	copied := w.store.copy()
	time.Sleep(time.Second)
	w.store.put("evacuations", zones[1], map[string]any{})
	time.Sleep(4 * time.Second)
	w.store.remove("evacuations", zones[1])
	time.Sleep(2 * time.Second)
	if w.trouble {
		w.store.leave()
		time.Sleep(time.Second)
		w.store.comeBack(copied)
	}
	// What the operator and the runners wrote is written again: nothing, since their last writes are those of the copy.
	time.Sleep(contactTime + 2*time.Second)

	evacuated := zones[0]
	w.store.put("evacuations", evacuated, map[string]any{})
	ack := time.Now()
	time.Sleep(evacuateBound + maxStretch + 4*time.Second)
	late, afterStretch := 0, 0
	for _, r := range w.runners {
		if r.zone != evacuated {
			continue
		}
		late += len(r.runsSince(ack.Add(evacuateBound)))
		afterStretch += len(r.runsSince(ack.Add(evacuateBound + maxStretch)))
	}
	w.log("requests at runners of %s later than %v after the ack: %d; later than %v: %d",
		evacuated, evacuateBound, late, evacuateBound+maxStretch, afterStretch)
	return afterStretch > 0, nil
}

// startLookups sends lookups to the instances in turn until the function that it returns is called.
func (w *world) startLookups(every time.Duration) (stop func()) {
	quit := make(chan struct{})
	var sender sync.WaitGroup
	sender.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-quit:
				return
			case <-time.After(every):
			}
			to := w.front(w.instances[i%len(w.instances)])
			go w.call(to, http.MethodGet, lookupPath, nil, 3*time.Second)
		}
	})
	return func() {
		close(quit)
		sender.Wait()
		time.Sleep(200 * time.Millisecond) // the last answers
	}
}
