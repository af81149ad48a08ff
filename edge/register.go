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

// register keeps this instance's record in the store: it writes it at the start, and again when the store has come back from a copy of
// itself, which may lack it.
func (e *Edge) register() {
	for era := e.registerInEra(); ; era = e.registerInEra() {
		for e.knownEra() <= era {
			if !e.sleep(eraCheckInterval) {
				return
			}
		}
		if !e.sleep(rand.N(time.Duration(e.pulse.Instances()) * registerSpreadPerInstance)) {
			return
		}
	}
}

// registerInEra reads the list of instances from the store and adds this one to it; it returns the era of the last list. Instances that
// start at the same moment read the list before the others have added themselves, so each reads it at least twice, and repeats until
// another instance is live.
func (e *Edge) registerInEra() (era core.Era) {
	wait := registerBackoff
	for read := 0; read < 2 || e.pulse.Instances() == 1; {
		at, err := e.registerOnce()
		switch {
		case e.ctx.Err() != nil:
			return era
		case err != nil:
			e.log.Emit(event.StoreLost, event.Fields{"while": "registering", "error": err})
		case at < era:
			// a late answer of an earlier history
		case at > era:
			era, read, wait = at, 1, recheckInterval
		default:
			read++
			wait = recheckInterval
		}
		if !e.sleep(wait + rand.N(wait)) {
			return era
		}
	}
	return era
}

// sleep waits; it returns false if the instance was closed meanwhile.
func (e *Edge) sleep(d time.Duration) bool {
	select {
	case <-e.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// registerOnce reads the list of instances and writes this instance's record unless the list has it; it returns the era of the list. A
// conditional write may meet a record of another era that has the same revision: it is one that this instance wrote before, and is
// replaced all the same.
func (e *Edge) registerOnce() (core.Era, error) {
	ctx, cancel := context.WithTimeout(e.ctx, registerTimeout)
	defer cancel()
	known := e.knownEra()
	list, at, err := e.store.ListStale(ctx, platform.KindInstances, "", maxInstances)
	if err == nil && at.Era < known {
		list, at, err = e.store.List(ctx, platform.KindInstances, "", maxInstances) // the stale answer is from before the store came back
	}
	if errors.Is(err, core.ErrNotFound) { // no instance has a record
		at.Era, err = known, nil
	}
	if err != nil {
		return 0, err
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
		return 0, err
	}
	if string(own.Value) == string(value) {
		return at.Era, nil
	}
	_, err = e.store.Put(ctx, key, value, own.Version)
	if errors.Is(err, core.ErrVersionMismatch) {
		if own, err = e.store.Get(ctx, key); err == nil && string(own.Value) != string(value) {
			_, err = e.store.Put(ctx, key, value, own.Version)
		}
	}
	return at.Era, err
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
