package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	draftDeadline = 39 * time.Second
	draftInterval = 600 * time.Millisecond
	// slowShare is one in how many clients reads slowly.
	slowShare = 3
	// trafficTime is the time for which such clients come.
	trafficTime = 38 * time.Second
	checkTime   = 12 * time.Second
	// starvedShare is the share of all requests' service below which a kind of request counts as starved.
	starvedShare = 0.25
)

// playSlow checks that clients which read slowly do not keep others from being served after their deadlines.
func playSlow(w *world) (bool, error) {
	w.site = geefhuis
	w.putConfig(7)
	for _, id := range []string{"i-lm-1", "i-lm-2"} {
		r := &runner{id: id, service: modelService, zone: w.zones[0], isModel: true, slots: 24, events: 187, eventStep: 15 * time.Millisecond}
		if err := w.addRunner(r); err != nil {
			return false, err
		}
	}
	for _, id := range []string{"i-app-1", "i-app-2"} {
		r := &runner{id: id, service: appService, zone: w.zones[0], slots: 6, workTime: 30 * time.Millisecond}
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
	w.sendDrafts(trafficTime, w.trouble)
	w.log("the last client that reads slowly has sent its request; waiting until its deadline has passed")
	time.Sleep(draftDeadline + time.Second)
	for _, r := range w.runners {
		w.log("%s runs %d requests now", r.id, r.runningNow())
	}
	drafts := w.sendDrafts(checkTime, false)
	served := 0
	for _, a := range drafts {
		if a.isServed() {
			served++
		}
	}
	lookups, lookupsServed := 20, 0
	for i := range lookups {
		if w.call(w.front(w.instances[i%len(w.instances)]), http.MethodGet, lookupPath, nil, 3*time.Second).isServed() {
			lookupsServed++
		}
	}
	all := float64(served+lookupsServed) / float64(len(drafts)+lookups)
	share := float64(served) / float64(len(drafts))
	w.log("drafts served after the deadlines of all clients that read slowly: %d of %d; lookups: %d of %d", served, len(drafts), lookupsServed, lookups)
	return share < starvedShare*all || lookupsServed < lookups/2, nil
}

// sendDrafts sends drafts for a time and returns the answers of the clients that read. With slow set, one client in slowShare
// reads slowly.
func (w *world) sendDrafts(d time.Duration, slow bool) []answer {
	var mu sync.Mutex
	var answers []answer
	var clients sync.WaitGroup
	for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
		to := w.front(w.instances[i%len(w.instances)])
		if slow && i%slowShare == slowShare-1 {
			go w.callSlowly(to, draftPath, w.draftHeaders(), draftDeadline)
		} else {
			clients.Go(func() {
				a := w.call(to, http.MethodPost, draftPath, w.draftHeaders(), draftDeadline)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			})
		}
		time.Sleep(draftInterval)
	}
	clients.Wait()
	return answers
}
