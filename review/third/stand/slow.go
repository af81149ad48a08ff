package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	draftDeadline = 39 * time.Second
	draftInterval = 600 * time.Millisecond
	// slowShare is one in how many clients of a draft reads slowly during slowTime.
	slowShare = 2
	slowTime  = 20 * time.Second
	// restTime is the time for which only ordinary clients come after that.
	restTime       = 65 * time.Second
	lookupInterval = 200 * time.Millisecond
	// starvedShare is the share of all requests' service below which a kind of request counts as starved.
	starvedShare = 0.25
)

// playSlow checks that clients which read slowly do not keep others from being served.
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
	var lookups []answer
	quit := make(chan struct{})
	var sender sync.WaitGroup
	sender.Go(func() { lookups = w.sendLookupsInTurn(quit) })
	drafts := w.sendDrafts(slowTime, w.trouble)
	w.log("the last client that reads slowly has sent its request")
	drafts = append(drafts, w.sendDrafts(restTime, false)...)
	for _, r := range w.runners {
		w.log("%s runs %d requests now", r.id, r.runningNow())
	}
	close(quit)
	sender.Wait()
	draftsServed, lookupsServed := countServed(drafts), countServed(lookups)
	all := float64(draftsServed+lookupsServed) / float64(len(drafts)+len(lookups))
	share := float64(draftsServed) / float64(len(drafts))
	w.log("drafts served, of clients that read at once, over the whole time: %d of %d; lookups: %d of %d",
		draftsServed, len(drafts), lookupsServed, len(lookups))
	return share < starvedShare*all, nil
}

// sendLookupsInTurn sends lookups one after the other until quit is closed.
func (w *world) sendLookupsInTurn(quit <-chan struct{}) []answer {
	var out []answer
	for i := 0; ; i++ {
		select {
		case <-quit:
			return out
		case <-time.After(lookupInterval):
		}
		out = append(out, w.call(w.front(w.instances[i%len(w.instances)]), http.MethodGet, lookupPath, nil, 3*time.Second))
	}
}

func countServed(answers []answer) (n int) {
	for _, a := range answers {
		if a.isServed() {
			n++
		}
	}
	return n
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
