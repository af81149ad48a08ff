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
	d.killReaders()
	d.configure(2, "k2")
	acked := time.Now()
	for _, i := range d.instances {
		until(t, "the key is withdrawn at "+i.cfg.GetInstance(), applyTime-time.Since(acked), func() bool {
			return strings.Contains(i.log.String(), "version=2")
		})
	}
}

// TestTakeover guards against a store that nobody reads for most of the 2 s in which changes must be in force, after the instances that
// read it have ended: the rest of that time is for reading and for passing on what was read.
func TestTakeover(t *testing.T) {
	const (
		instances    = 24
		applyTime    = 2 * time.Second
		takeoverTime = applyTime / 2
	)
	d := deploy(t, instances)
	d.eventually("ready", 5*time.Second, (*instance).ready)
	time.Sleep(4 * time.Second) // the instances know each other, and two of them read
	stopCalls := d.callAll("k1")
	defer stopCalls()
	time.Sleep(300 * time.Millisecond)
	began := func() (n int) {
		for _, i := range d.instances {
			n += strings.Count(i.log.String(), "msg=watch_began")
		}
		return n
	}
	d.killReaders()
	before := began()
	until(t, "another instance reads", takeoverTime, func() bool { return began() > before })
}

// killReaders kills the instances that read the store, of which there are two.
func (d *deployment) killReaders() {
	d.t.Helper()
	var left []*instance
	var closing sync.WaitGroup
	for _, i := range d.instances {
		if strings.Count(i.log.String(), "msg=watch_began") > strings.Count(i.log.String(), "msg=watch_ended") {
			closing.Go(i.kill)
			continue
		}
		left = append(left, i)
	}
	if n := len(d.instances) - len(left); n != 2 {
		d.t.Fatalf("%d instances read the store", n)
	}
	closing.Wait()
	d.instances = left
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
