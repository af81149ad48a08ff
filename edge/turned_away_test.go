package edge_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"snipeshed/stand/link"
)

// TestChangesArriveBesideTurnedAwayDomain guards against changes that reach nobody while the store is silent for the instances of one
// failure domain: those that read it for all, and their successors, were all of that domain.
func TestChangesArriveBesideTurnedAwayDomain(t *testing.T) {
	const applyTime = 2 * time.Second
	d := deploy(t, 0)
	links := map[string]*link.Link{}
	for domain, size := range map[string]int{"ee-north-a": 5, "ee-north-b": 4, "ee-north-c": 4} {
		l := link.New(d.store.Address())
		if err := l.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		links[domain] = l
		for n := range size {
			d.startIn(domain, fmt.Sprintf("edge-%s-%d", domain, n+1), l.Addr())
		}
	}
	d.eventually("ready", 5*time.Second, (*instance).ready)
	for version, domain := range []string{"ee-north-a", "ee-north-b", "ee-north-c"} {
		time.Sleep(4 * time.Second) // the instances know each other, and some read
		links[domain].Partition()
		d.configure(version+2, "k2")
		acked := time.Now()
		for _, i := range d.instances {
			if i.cfg.GetFailureDomain() == domain {
				continue
			}
			until(t, fmt.Sprintf("version %d is in force at %s", version+2, i.cfg.GetInstance()), applyTime-time.Since(acked), func() bool {
				return strings.Contains(i.log.String(), fmt.Sprint("version=", version+2))
			})
		}
		if err := links[domain].Restore(); err != nil {
			t.Fatal(err)
		}
	}
}
