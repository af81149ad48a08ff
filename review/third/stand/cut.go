package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	cutTime      = 5 * time.Second
	cutContact   = 3 * time.Second        // contact_ms of the site
	overlapBound = 400 * time.Millisecond // of the rule
	cutDrafts    = 12
	cutRunners   = 6 // of which one is cut off
)

// playCut checks that a runner that was cut off for a while does not work on streams that go on at another runner, once it is reached
// again.
func playCut(w *world) (bool, error) {
	w.site, w.backups = kvRouter, true
	w.putConfig(7)
	p := newPool()
	for i := range cutRunners {
		r := &runner{
			id: fmt.Sprintf("i-lm-%d", i+1), service: modelService, zone: w.zones[i%len(w.zones)], isModel: true, slots: 24, events: 500,
			eventStep: 60 * time.Millisecond, pool: p,
		}
		if err := w.addRunner(r); err != nil {
			return false, err
		}
	}
	if err := w.startInstances(2); err != nil {
		return false, err
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var clients sync.WaitGroup
	for i := range cutDrafts {
		to := w.front(w.instances[i%len(w.instances)])
		clients.Go(func() { w.call(to, http.MethodPost, draftPath, w.draftHeaders(), draftDeadline) })
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	cut := w.busiest()
	w.log("%s runs %d streams", cut.id, cut.runningNow())
	if w.trouble {
		w.log("the link of %s is cut", cut.id)
		cut.link.cut()
		time.Sleep(cutTime)
		cut.link.heal()
		w.log("the link of %s is whole again", cut.id)
	} else {
		time.Sleep(cutTime)
	}
	inTouch := time.Now().Add(cutContact)
	clients.Wait()
	broken := false
	for attempt, d := range p.overlaps(inTouch) {
		w.log("from %v after the cut on, two runners worked on %s for %v", cutContact, attempt, d)
		broken = broken || d > overlapBound
	}
	return broken, nil
}

// busiest returns the runner that runs the most requests.
func (w *world) busiest() *runner {
	out := w.runners[0]
	for _, r := range w.runners {
		if r.runningNow() > out.runningNow() {
			out = r
		}
	}
	return out
}
