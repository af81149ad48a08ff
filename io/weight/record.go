package weight

import (
	"fmt"
	"slices"
	"time"

	"snipeshed/core"
	"snipeshed/core/extra"
)

// Key is the key of the slots in the object API.
const Key = "weights/slots"

// entry is one taken slot.
type entry struct {
	Holder   core.InstanceID `json:"holder"`
	Endpoint core.EndpointID `json:"endpoint"`
	Nonce    string          `json:"nonce"`
	LeaseMS  int64           `json:"lease_ms"`
	// Renewal differs at each renewal, so that observers restart their count.
	Renewal int64 `json:"renewal"`

	extra extra.Extra
}

// UnmarshalJSON keeps the fields of a newer version.
func (e *entry) UnmarshalJSON(b []byte) error {
	type plain entry
	x, err := extra.Parse(b, (*plain)(e))
	e.extra = x
	return err
}

// MarshalJSON writes them again.
func (e entry) MarshalJSON() ([]byte, error) {
	type plain entry
	return e.extra.Marshal(plain(e))
}

type record struct {
	Slots []entry `json:"slots"`

	extra extra.Extra
}

func decode(o core.Object) (record, error) {
	var r record
	var err error
	if r.extra, err = extra.Parse(o.Value, &r); err != nil {
		return r, fmt.Errorf("object %q does not hold slots; delete it to free all of them: %w", o.Key, err)
	}
	return r, nil
}

func (r record) index(nonce string) int {
	for i, e := range r.Slots {
		if e.Nonce == nonce {
			return i
		}
	}
	return -1
}

// heldByOther reports whether another instance has a slot for the endpoint: two instances that both take themselves for
// its owner need only one.
func (r record) heldByOther(ep core.EndpointID, self core.InstanceID) bool {
	return slices.ContainsFunc(r.Slots, func(e entry) bool { return e.Endpoint == ep && e.Holder != self })
}

// sighting is when a lease was first seen in its present renewal.
type sighting struct {
	renewal int64
	at      time.Time
}

// sight counts the leases of a record from now on, as far as they were not seen before.
func (w *Weight) sight(now time.Time, r record) {
	seen := make(map[string]sighting, len(r.Slots))
	for _, e := range r.Slots {
		s, ok := w.seen[e.Nonce]
		if !ok || s.renewal != e.Renewal {
			s = sighting{renewal: e.Renewal, at: now}
		}
		seen[e.Nonce] = s
	}
	w.seen = seen
	for nonce := range w.dropped {
		if _, ok := seen[nonce]; !ok {
			delete(w.dropped, nonce)
		}
	}
}

// expired reports whether a lease ended by the count of this process.
func (w *Weight) expired(now time.Time, e entry) bool {
	return !now.Before(w.seen[e.Nonce].at.Add(time.Duration(e.LeaseMS) * time.Millisecond))
}
