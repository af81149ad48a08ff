package edge_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestBudgetBesideLostPeers guards against repeats beyond the fleet's budget: an instance that hears no others any more, though they may
// serve callers all the while, must not take their shares of it.
func TestBudgetBesideLostPeers(t *testing.T) {
	const (
		instances = 4
		calls     = 60
	)
	d := deploy(t, 0)
	d.retrySlack = 40
	for range instances {
		d.start()
	}
	d.eventually("ready", 3*time.Second, (*instance).ready)
	others := func(i *instance, what string) int { return strings.Count(i.log.String(), "msg="+what) }
	d.eventually("all know each other", 3*time.Second, func(i *instance) bool { return others(i, "peer_found") == instances-1 })
	last := d.instances[0]
	for _, i := range d.instances[1:] {
		i.kill()
	}
	until(t, "the others are lost", 5*time.Second, func() bool { return others(last, "peer_lost") == instances-1 })
	var arrivals atomic.Int64
	for _, e := range d.engines[:2] {
		e.CallHandler = func(w http.ResponseWriter, _ *http.Request) {
			arrivals.Add(1)
			w.WriteHeader(http.StatusInternalServerError)
		}
	}
	for range calls {
		last.call("k1")
	}
	share := int64(last.cfg.GetRetryRatio()*calls + last.cfg.GetRetrySlack()/instances)
	if repeats := arrivals.Load() - calls; repeats > share {
		t.Errorf("%d repeats; this instance's share is %d", repeats, share)
	}
}

func until(t *testing.T, what string, within time.Duration, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(within); !cond(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: timed out", what)
		}
	}
}
