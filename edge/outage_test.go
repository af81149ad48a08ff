package edge_test

import (
	"strings"
	"testing"
	"time"

	"snipeshed/stand/plat"
)

// TestLeavingAfterOutage guards against calls to endpoints that leave when the store has been back for long enough to acknowledge it:
// no instance may still take a removal for an entry that lapsed in the outage.
func TestLeavingAfterOutage(t *testing.T) {
	const (
		contactTime = 3 * time.Second
		drainTime   = 2 * time.Second
	)
	d := deploy(t, 4)
	d.eventually("ready", 3*time.Second, (*instance).ready)
	time.Sleep(2 * time.Second)
	d.store.SetFault(plat.FaultNoAnswer)
	time.Sleep(4500 * time.Millisecond)
	d.store.SetFault(plat.FaultNone)
	time.Sleep(contactTime)
	d.store.Remove("servers", "app-1")
	d.eventually("it is known to have left", drainTime-200*time.Millisecond, func(i *instance) bool {
		return strings.Contains(i.log.String(), "msg=endpoint_leaving endpoint=app-1")
	})
}
