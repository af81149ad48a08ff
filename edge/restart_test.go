package edge_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/stand/plat"
)

// TestRestartBesideStalePeer guards against a key that was withdrawn, or an endpoint that has left, in use again after a restart: the
// first instance that the restarted one finds is cut off from the store and knows an old configuration.
func TestRestartBesideStalePeer(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	d.eventually("ready", 3*time.Second, (*instance).ready)
	stale, old := d.instances[0], d.store
	old.SetFault(plat.FaultUnavailable)
	t.Cleanup(old.Close)
	d.store = plat.NewStore(0)
	for n := range 20 { // so that its revisions are higher than those of the old store
		d.store.Put("notes", fmt.Sprint(n), n)
	}
	for _, e := range d.engines[1:] {
		d.store.Put("servers", e.ID, e.ObjectSpec(e.ID[:len(e.ID)-2], "d1", "ready"))
	}
	d.configure(2, "k2")

	time.Sleep(3500 * time.Millisecond) // the stale instance no longer reports that the store has answered
	left := d.engines[0].AttemptCount()
	i := d.start()
	i.AddPeer(stale.cfg.GetInstance(), stale.cfg.GetPeerAddress())
	served := 0
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		is.True(i.call("k1") != 200)
		if i.call("k2") == 200 {
			served++
		}
	}
	is.True(served > 50)
	is.Equal(d.engines[0].AttemptCount(), left)
}

// TestRestartInOutage guards against an instance that gets nothing from the others because none of them reaches the store.
func TestRestartInOutage(t *testing.T) {
	d := deploy(t, 2)
	d.eventually("ready", 3*time.Second, (*instance).ready)
	for _, fault := range []plat.StoreFault{plat.FaultUnavailable, plat.FaultNoAnswer} {
		d.store.SetFault(fault)
		time.Sleep(3500 * time.Millisecond) // no instance reports that the store has answered
		i := d.start()
		i.AddPeer(d.instances[0].cfg.GetInstance(), d.instances[0].cfg.GetPeerAddress())
		d.eventually("ready", 1500*time.Millisecond, (*instance).ready)
	}
}

// TestManyStart guards against instances that never get the whole list of endpoints from another one, because those that it has
// sent still count, or all ask at once (load pattern: all instances of a fleet start in the same moment).
func TestManyStart(t *testing.T) {
	d := deploy(t, 0)
	for n := range 1000 {
		d.store.Put("servers", fmt.Sprint("i-", n), d.engines[2].ObjectSpec("lm", "d1", "ready"))
	}
	for range 20 {
		d.start()
	}
	d.eventually("ready", 10*time.Second, (*instance).ready)
}
