package ring

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"snipeshed/core"
)

const (
	// Interval is the time between two heartbeats to the instances that watch this one.
	Interval = 300 * time.Millisecond
	// Silence is the time without a datagram after which a watched instance counts as lost; three heartbeats may be lost.
	Silence = 1300 * time.Millisecond
	// watchers is the number of instances that watch each one, so that a loss is noticed although some of them are lost too.
	watchers = 3
)

// Detector finds out which of the instances that this one watches have gone silent. Each instance is watched by the next ones in
// the order of a hash, so that heartbeats cost an instance the same in a fleet of any size. It is not safe for concurrent use.
type Detector struct {
	self  core.InstanceID
	since map[core.InstanceID]time.Time // when this instance began to watch each one
}

// New returns a Detector of the instance self.
func New(self core.InstanceID) *Detector {
	return &Detector{self: self, since: map[core.InstanceID]time.Time{}}
}

// Watchers returns the instances that watch this one, among the live ones.
func (d *Detector) Watchers(live []core.InstanceID) []core.InstanceID {
	return d.neighbors(live, 1)
}

// Lost returns the instances that this one watches and has not heard from for longer than Silence; lastHeard holds the live
// instances. One that it has only begun to watch gets as long from then on, since nobody sent it heartbeats here before.
func (d *Detector) Lost(now time.Time, lastHeard map[core.InstanceID]time.Time) []core.InstanceID {
	live := make([]core.InstanceID, 0, len(lastHeard))
	for id := range lastHeard {
		live = append(live, id)
	}
	watched := d.neighbors(live, -1)
	since := make(map[core.InstanceID]time.Time, len(watched))
	var lost []core.InstanceID
	for _, id := range watched {
		begun, ok := d.since[id]
		if !ok {
			begun = now
		}
		since[id] = begun
		if now.Sub(core.Later(begun, lastHeard[id])) > Silence {
			lost = append(lost, id)
		}
	}
	d.since = since
	return lost
}

// Extend lets the watched instances be silent for longer, after a pause of this instance.
func (d *Detector) Extend(by time.Duration) {
	for id, begun := range d.since {
		d.since[id] = begun.Add(by)
	}
}

// neighbors returns the next live instances after this one in the order of the ring, or before it if step is -1.
func (d *Detector) neighbors(live []core.InstanceID, step int) []core.InstanceID {
	ring := make([]place, 0, len(live)+1)
	for _, id := range live {
		if id != d.self {
			ring = append(ring, placeOf(id))
		}
	}
	own := placeOf(d.self)
	ring = append(ring, own)
	slices.SortFunc(ring, place.compare)
	at := slices.Index(ring, own)
	out := make([]core.InstanceID, 0, watchers)
	for n := 1; n <= min(watchers, len(ring)-1); n++ {
		out = append(out, ring[(at+n*step+len(ring))%len(ring)].id)
	}
	return out
}

// place is the place of an instance in the ring.
type place struct {
	hash uint64
	id   core.InstanceID
}

func placeOf(id core.InstanceID) place {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	return place{hash: h.Sum64(), id: id}
}

func (p place) compare(q place) int {
	return cmp.Or(cmp.Compare(p.hash, q.hash), cmp.Compare(p.id, q.id))
}
