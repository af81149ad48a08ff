package edge

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"snipeshed/core"
	"snipeshed/io/event"
	"snipeshed/platform"
)

// instanceRecord is the entry of an instance in the store.
type instanceRecord struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
}

// register reads the list of instances from the store and adds this one to it. Instances that start at the same moment read
// the list before the others have added themselves, so each reads it at least twice, and repeats until another instance is
// live.
func (e *Edge) register() {
	wait := registerBackoff
	for read := 0; read < 2 || e.pulse.Instances() == 1; {
		err := e.registerOnce()
		switch {
		case e.ctx.Err() != nil:
			return
		case err != nil:
			e.log.Emit(event.StoreLost, event.Fields{"while": "registering", "error": err})
		default:
			read++
			wait = recheckInterval
		}
		select {
		case <-e.ctx.Done():
			return
		case <-time.After(wait + rand.N(wait)):
		}
	}
}

func (e *Edge) registerOnce() error {
	ctx, cancel := context.WithTimeout(e.ctx, registerTimeout)
	defer cancel()
	list, _, err := e.store.ListStale(ctx, platform.KindInstances, "", maxInstances)
	if err != nil && !errors.Is(err, core.ErrNotFound) {
		return err
	}
	key := platform.KindInstances + "/" + string(e.self.ID)
	var own core.Object
	for _, o := range list {
		if o.Key == key {
			own = o
		}
		e.addPeerRecord(o)
	}
	value, err := json.Marshal(instanceRecord{Address: e.self.Address, FailureDomain: string(e.self.FailureDomain)})
	if err != nil {
		return err
	}
	if string(own.Value) == string(value) {
		return nil
	}
	_, err = e.store.Put(ctx, key, value, own.Version)
	if errors.Is(err, core.ErrVersionMismatch) {
		if own, err = e.store.Get(ctx, key); err == nil && string(own.Value) != string(value) {
			_, err = e.store.Put(ctx, key, value, own.Version)
		}
	}
	return err
}

func (e *Edge) addPeerRecord(o core.Object) {
	var r instanceRecord
	if err := json.Unmarshal(o.Value, &r); err != nil {
		e.log.Emit(event.PeerLost, event.Fields{"peer": o.Key, "while": "reading its record", "error": err})
		return
	}
	id := core.InstanceID(o.Key[len(platform.KindInstances)+1:])
	e.pulse.Add(core.Peer{ID: id, Address: r.Address, FailureDomain: core.FailureDomain(r.FailureDomain)})
}
