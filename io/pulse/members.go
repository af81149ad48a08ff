package pulse

import (
	"time"

	"snipeshed/core"
)

// Instances returns the number of live instances, this one included.
func (p *Pulse) Instances() int { return p.liveCount() }

// KnownPeers returns the number of other instances that this one knows, live or not.
func (p *Pulse) KnownPeers() int { return p.knownCount() }

// Members returns the live instances, this one included.
func (p *Pulse) Members() []core.Peer { return p.liveMembers() }

// NewerPeers returns the live instances that have a newer configuration or endpoint list than given, or count more members
// than this instance has entries.
func (p *Pulse) NewerPeers(configVersion core.Version, endpointsRevision core.Revision) []core.Peer {
	return p.newerPeers(configVersion, endpointsRevision)
}

// IsReader reports whether this instance is to read the store on behalf of all.
func (p *Pulse) IsReader(own core.StoreAccess) bool {
	now := time.Now()
	return p.election.Elected(now, own, p.outage(own.Down, own.Up), p.candidates(now))
}

// IsFirstReader reports whether this instance, which reads the store, is the first one that does.
func (p *Pulse) IsFirstReader() bool { return p.election.First(p.candidates(time.Now())) }

// StoreSeen reports whether the store has answered another live instance in the last seconds.
func (p *Pulse) StoreSeen() bool { return p.storeSeen() }

// OutageReported reports whether several other instances fail to reach the store and none reaches it.
func (p *Pulse) OutageReported() bool { return p.outageReported() }

// OutageSuspected reports whether n instances, which may include this one, fail to reach the store and none reaches it.
func (p *Pulse) OutageSuspected(n int, storeDown, storeUp bool) bool {
	return p.outageSuspected(n, storeDown, storeUp)
}

// Outage reports whether the store counts as down for all instances.
func (p *Pulse) Outage(storeDown, storeUp bool) bool { return p.outage(storeDown, storeUp) }

// RanksFirst reports whether rendezvous hashing of key chooses this instance among the live ones.
func (p *Pulse) RanksFirst(key string) bool { return p.rank(key, 1) == 0 }

// Rank returns this instance's place in the order that rendezvous hashing of key gives the live ones, from 0 on; places from limit on
// are returned as limit.
func (p *Pulse) Rank(key string, limit int) int { return p.rank(key, limit) }
