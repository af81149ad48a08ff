package edge_test

import (
	"strings"
	"sync"
	"testing"
	"time"
)

// TestChangesArriveBesideLostWatchers guards against changes that reach nobody while the fleet still counts on instances that are gone:
// those that watch the store are killed, in a fleet whose full datagrams are too rare to tell that soon.
func TestChangesArriveBesideLostWatchers(t *testing.T) {
	const (
		instances = 24
		applyTime = 2 * time.Second
	)
	d := deploy(t, instances)
	d.eventually("ready", 5*time.Second, (*instance).ready)
	time.Sleep(4 * time.Second) // the instances know each other, and two of them watch
	stopCalls := d.callAll("k1")
	defer stopCalls()
	time.Sleep(300 * time.Millisecond)
	var left []*instance
	var closing sync.WaitGroup
	for _, i := range d.instances {
		if strings.Count(i.log.String(), "msg=watch_began") > strings.Count(i.log.String(), "msg=watch_ended") {
			closing.Go(i.kill)
			continue
		}
		left = append(left, i)
	}
	if n := instances - len(left); n != 2 {
		t.Fatalf("%d instances watched the store", n)
	}
	closing.Wait()
	d.instances = left
	d.configure(2, "k2")
	acked := time.Now()
	for _, i := range d.instances {
		until(t, "the key is withdrawn at "+i.cfg.GetInstance(), applyTime-time.Since(acked), func() bool {
			return strings.Contains(i.log.String(), "version=2")
		})
	}
}

// callAll sends calls to all instances, so that each has just been heard from, and returns a function that ends that.
func (d *deployment) callAll(key string) func() {
	done := make(chan struct{})
	var g sync.WaitGroup
	for _, i := range d.instances {
		g.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(30 * time.Millisecond):
					i.call(key)
				}
			}
		})
	}
	return func() {
		close(done)
		g.Wait()
	}
}
