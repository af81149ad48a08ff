package watch

import (
	"context"
	"strings"
	"sync"
	"time"

	"snipeshed/core"
)

// watchEvacuations watches the evacuated failure domains while this instance is the first watcher, until ctx ends. The others get
// them from it; a further watch of each would cost the store as much again.
func (w *Watch) watchEvacuations(ctx context.Context) {
	for ctx.Err() == nil {
		if w.isFirstReader() {
			w.watchEvacuationsAsFirst(ctx)
		}
		sleep(ctx, checkInterval)
	}
}

func (w *Watch) isFirstReader() bool { return w.role.IsFirstReader() }

func (w *Watch) watchEvacuationsAsFirst(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g sync.WaitGroup
	g.Go(func() { w.watchKind(ctx, w.Evacuations, w.listEvacuations, w.applyEvacuation) })
	for w.isFirstReader() && sleep(ctx, checkInterval) {
	}
	cancel()
	g.Wait()
}

func (w *Watch) listEvacuations(ctx context.Context) (core.Revision, error) {
	list, at, err := w.store.List(ctx, w.Evacuations, "", maxObjects)
	if err != nil {
		return core.Revision{}, err
	}
	var domains []core.FailureDomain
	for _, o := range list {
		domains = append(domains, w.evacuatedDomain(o.Key))
	}
	w.evacuated.Replace(time.Now(), at, domains)
	w.role.OnEvacuations()
	return at, nil
}

func (w *Watch) applyEvacuation(at core.Revision, c *core.Change) {
	w.evacuated.Change(time.Now(), at, w.evacuatedDomain(c.Key), !c.Deleted)
	w.role.OnEvacuations()
}

func (w *Watch) evacuatedDomain(key string) core.FailureDomain {
	return core.FailureDomain(strings.TrimPrefix(key, w.Evacuations+"/"))
}
