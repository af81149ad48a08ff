package edge_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/stand/plat"
)

const (
	awayTime = time.Second
	// lapseTime is within which endpoints write their entries again after the store is back.
	lapseTime = 2 * time.Second
)

// restore lets the store be away for a moment and come back from a copy.
func (d *deployment) restore(c plat.StoreCopy) {
	d.store.SetFault(plat.FaultReset)
	time.Sleep(awayTime)
	d.store.Restore(c)
}

// advance raises the store's revision by changes of an entry, so that it is also that of the endpoint list.
func (d *deployment) advance(revision uint64) {
	spec := d.engines[0].ObjectSpec("app", "d1", "ready")
	for n := uint64(0); d.store.Revision() < revision; n++ {
		spec["slots"] = 8 + n%2
		d.store.Put("servers", d.engines[0].ID, spec)
	}
}

// register writes the entry of an endpoint of the service app.
func (d *deployment) register(e *plat.Engine, state string) {
	d.store.Put("servers", e.ID, e.ObjectSpec("app", "d1", state))
}

// newEngine starts an engine whose entry is not written yet.
func (d *deployment) newEngine(id string) *plat.Engine {
	e := plat.NewEngine(id)
	d.engines = append(d.engines, e)
	return e
}

// leave removes the entries of engines and ends them.
func (d *deployment) leave(engines ...*plat.Engine) {
	for _, e := range engines {
		d.store.Remove("servers", e.ID)
		e.Close()
	}
}

// settled returns a deployment of n instances that know each other, two of which watch the store.
func settled(t *testing.T, n int) *deployment {
	d := deploy(t, n)
	for _, i := range d.instances[1:] {
		d.instances[0].AddPeer(i.cfg.GetInstance(), i.cfg.GetPeerAddress())
	}
	d.eventually("ready", 3*time.Second, (*instance).ready)
	time.Sleep(2500 * time.Millisecond)
	return d
}

// refusals sends calls to all instances in turn and returns how many were not answered with 200.
func (d *deployment) refusals(calls int) (n int) {
	for c := range calls {
		if d.instances[c%len(d.instances)].call("k1") != 200 {
			n++
		}
	}
	return n
}

// TestEndpointsAfterRestore guards against endpoints that are never used because they registered after the store had come back from a
// copy, with revisions that were given out before: once the others had left, each call was refused.
func TestEndpointsAfterRestore(t *testing.T) {
	for name, passed := range map[string]bool{"the store has fewer changes than before": false, "its new changes have passed the old ones": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := settled(t, 4)
			c := d.store.Copy()
			d.advance(d.store.Revision() + 40)
			before := d.store.Revision()
			time.Sleep(500 * time.Millisecond) // all know it
			d.restore(c)
			late := []*plat.Engine{d.newEngine("app-8"), d.newEngine("app-9")}
			for _, e := range late {
				d.register(e, "ready")
			}
			if passed {
				d.advance(before + 10)
			}
			time.Sleep(lapseTime)
			d.leave(d.engines[:2]...)
			time.Sleep(lapseTime)
			is.Equal(d.refusals(100), 0)
			is.True(late[0].AttemptCount() > 0)
		})
	}
}

// TestRestoreTwice guards against instances that follow the store after it has come back from a copy, but no longer after it has again;
// and against the loss of those that read it just before.
func TestRestoreTwice(t *testing.T) {
	is := is.New(t)
	d := settled(t, 5)
	c := d.store.Copy()
	d.advance(d.store.Revision() + 40)
	time.Sleep(500 * time.Millisecond) // all know it
	d.restore(c)
	d.advance(c.Revision() + 20)
	time.Sleep(3 * time.Second) // two instances read again
	d.killReaders()
	d.restore(c)
	late := d.newEngine("app-9")
	d.register(late, "ready")
	time.Sleep(lapseTime)
	d.leave(d.engines[:2]...)
	time.Sleep(lapseTime)
	is.Equal(d.refusals(60), 0)
	is.True(late.AttemptCount() > 0)
}

// TestManyRestore guards against instances that learn late that the store has come back, because all of them fetch the whole endpoint list
// in the same moment (load pattern: a return of the store in a large fleet).
func TestManyRestore(t *testing.T) {
	const (
		instances = 24
		entries   = 1000
		applyTime = 2 * time.Second
	)
	d := deploy(t, 0)
	for n := range entries {
		d.store.Put("servers", fmt.Sprint("i-", n), d.engines[2].ObjectSpec("lm", "d1", "ready"))
	}
	for range instances {
		d.start()
	}
	d.eventually("ready", 10*time.Second, (*instance).ready)
	time.Sleep(2500 * time.Millisecond)
	c := d.store.Copy()
	d.advance(d.store.Revision() + 40)
	time.Sleep(500 * time.Millisecond)
	d.store.Restore(c)
	back := time.Now()
	for _, i := range d.instances {
		until(t, "restored at "+i.cfg.GetInstance(), applyTime-time.Since(back), func() bool {
			return strings.Contains(i.log.String(), "msg=store_restored")
		})
	}
	t.Logf("all are in the new era after %v", time.Since(back))
}

// TestLostEntriesOutlastRestore guards against live endpoints that count as gone at once because the copy, from which the store has come
// back, is from before they registered; and against ones that are used for good though their entries are not written again.
func TestLostEntriesOutlastRestore(t *testing.T) {
	is := is.New(t)
	d := settled(t, 3)
	c := d.store.Copy()
	late, gone := d.newEngine("app-8"), d.newEngine("app-9")
	d.register(late, "ready")
	d.register(gone, "ready")
	d.eventually("registered", 2*time.Second, func(i *instance) bool { return strings.Contains(i.log.String(), "app-9") })
	d.leave(d.engines[:2]...)
	time.Sleep(500 * time.Millisecond)
	d.store.Restore(c) // so soon that no instance counts the store as down
	for end := time.Now().Add(lapseTime - 500*time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		is.Equal(d.refusals(3), 0)
	}
	d.register(late, "ready")
	d.eventually("one that is not back is gone", 3*time.Second, func(i *instance) bool {
		return strings.Contains(i.log.String(), "msg=endpoint_leaving endpoint=app-9")
	})
	is.Equal(d.refusals(30), 0)
	is.True(!strings.Contains(d.instances[0].log.String(), "msg=endpoint_leaving endpoint=app-8"))
}

// TestLeavingOutlastsRestore guards against calls to an endpoint whose leaving was acknowledged, because the store has its entry again
// from a copy.
func TestLeavingOutlastsRestore(t *testing.T) {
	for name, leave := range map[string]func(d *deployment){
		"its entry was removed": func(d *deployment) { d.store.Remove("servers", "app-1") },
		"it was draining":       func(d *deployment) { d.register(d.engines[0], "draining") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := settled(t, 3)
			c := d.store.Copy()
			leave(d)
			d.eventually("known", 2*time.Second, func(i *instance) bool {
				return strings.Contains(i.log.String(), "msg=endpoint_leaving endpoint=app-1")
			})
			time.Sleep(500 * time.Millisecond) // calls on their way
			before := d.engines[0].AttemptCount()
			d.restore(c)
			for end := time.Now().Add(2 * lapseTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				is.Equal(d.refusals(3), 0)
			}
			is.Equal(d.engines[0].AttemptCount(), before)
		})
	}
}

// TestConfigAfterRestore guards against a configuration that is taken back because the store has come back from a copy, and against one that
// is not applied because its revision was given out before.
func TestConfigAfterRestore(t *testing.T) {
	is := is.New(t)
	d := settled(t, 3)
	c := d.store.Copy()
	d.configure(2, "k2")
	d.eventually("applied", 2*time.Second, func(i *instance) bool { return i.call("k2") == 200 })
	d.restore(c)
	for end := time.Now().Add(lapseTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, i := range d.instances {
			is.Equal(i.call("k1"), 401)
			is.Equal(i.call("k2"), 200)
		}
	}
	d.configure(2, "k2")
	d.configure(3, "k3")
	d.eventually("applied", 2*time.Second, func(i *instance) bool { return i.call("k3") == 200 && i.call("k2") == 401 })
}

// TestRecordsAfterRestore guards against instances that nobody finds in the store any more because the copy lacks their records.
func TestRecordsAfterRestore(t *testing.T) {
	d := deploy(t, 0)
	c := d.store.Copy()
	for range 3 {
		d.start()
	}
	d.eventually("ready", 3*time.Second, (*instance).ready)
	time.Sleep(2500 * time.Millisecond)
	d.restore(c)
	until(t, "all records are written again", 5*time.Second, func() bool { return d.store.Count("snipeshed-instances") == 3 })
	late := d.start() // knows no seeds
	until(t, "found through the store", 5*time.Second, func() bool { return strings.Count(late.log.String(), "msg=peer_found") == 3 })
}

// TestEvacuationAfterRestore guards against an evacuation that is not applied because its revision was given out before the store came
// back from a copy, for another domain or for the same one.
func TestEvacuationAfterRestore(t *testing.T) {
	for _, domain := range []string{"d1", "d2"} {
		t.Run(domain, func(t *testing.T) {
			d := deployEvacuable(t, 4)
			c := d.store.Copy()
			d.store.Put("evacuations", "d2", map[string]any{})
			d.eventually("known", evacuationTimeout, evacuated("[d2]"))
			d.store.Remove("evacuations", "d2")
			d.eventually("taken back", evacuationTimeout, evacuated("[]"))
			d.restore(c)
			time.Sleep(lapseTime)
			d.store.Put("evacuations", domain, map[string]any{})
			d.eventually("known again", evacuationTimeout, evacuated("["+domain+"]"))
			d.store.Remove("evacuations", domain)
			d.eventually("taken back again", evacuationTimeout, evacuated("[]"))
		})
	}
}

// TestEvacuationOutlastsRestore guards against calls to a failure domain whose evacuation was acknowledged and not taken back, while the
// store lacks it after it has come back from a copy; against an instance that starts then and doesn't know of it; and against a domain
// that gets no calls after the operator has written the evacuation again and taken it back.
func TestEvacuationOutlastsRestore(t *testing.T) {
	is := is.New(t)
	d := deployEvacuable(t, 4)
	c := d.store.Copy()
	d.store.Put("evacuations", "d1", map[string]any{})
	d.eventually("known", evacuationTimeout, evacuated("[d1]"))
	before := d.engines[0].AttemptCount()
	d.restore(c)
	late := d.start()
	d.instances[0].AddPeer(late.cfg.GetInstance(), late.cfg.GetPeerAddress())
	d.eventually("ready", 3*time.Second, (*instance).ready)
	d.eventually("known to one that has started", evacuationTimeout, evacuated("[d1]"))
	for end := time.Now().Add(evacuationTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		is.Equal(d.refusals(len(d.instances)), 0)
	}
	d.store.Put("evacuations", "d1", map[string]any{})
	time.Sleep(lapseTime)
	is.Equal(d.refusals(20), 0)
	is.Equal(d.engines[0].AttemptCount(), before)
	d.store.Remove("evacuations", "d1")
	d.eventually("taken back", evacuationTimeout, evacuated("[]"))
}

// TestCopiedEvacuation guards against a failure domain that gets no calls for good because the store, back from a copy, holds its
// evacuation, which had been taken back: it has to follow the operator, who takes it back again.
func TestCopiedEvacuation(t *testing.T) {
	d := deployEvacuable(t, 4)
	d.store.Put("evacuations", "d2", map[string]any{})
	d.eventually("known", evacuationTimeout, evacuated("[d2]"))
	c := d.store.Copy()
	d.store.Remove("evacuations", "d2")
	d.eventually("taken back", evacuationTimeout, evacuated("[]"))
	d.restore(c)
	time.Sleep(lapseTime)
	d.store.Remove("evacuations", "d2")
	d.eventually("taken back again", evacuationTimeout, evacuated("[]"))
	is.New(t).Equal(d.refusals(20), 0)
}
