package weight

import (
	"fmt"
	"slices"
	"time"

	"snipeshed/core"
	"snipeshed/core/extra"
)

// Key is the key of the slot table in the object API.
const Key = "weights/slots"

// slot is one taken slot.
type slot struct {
	Holder   core.InstanceID `json:"holder"`
	Endpoint core.EndpointID `json:"endpoint"`
	Nonce    string          `json:"nonce"`
	LeaseMS  int64           `json:"lease_ms"`
	// Renewal changes with each renewal, so that observers restart the time of the lease.
	Renewal int64 `json:"renewal"`

	extra extra.UnknownFields
}

// UnmarshalJSON keeps unknown fields, which a newer version may have written.
func (s *slot) UnmarshalJSON(b []byte) error {
	type plain slot
	x, err := extra.Parse(b, (*plain)(s))
	s.extra = x
	return err
}

// MarshalJSON writes the unknown fields back.
func (s slot) MarshalJSON() ([]byte, error) {
	type plain slot
	return s.extra.Marshal(plain(s))
}

type slotTable struct {
	Slots []slot `json:"slots"`

	extra extra.UnknownFields
}

func decode(o core.Object) (slotTable, error) {
	var t slotTable
	var err error
	if t.extra, err = extra.Parse(o.Value, &t); err != nil {
		return t, fmt.Errorf("object %q does not hold a slot table; delete it to free all slots: %w", o.Key, err)
	}
	return t, nil
}

func (t slotTable) index(nonce string) int {
	for i, e := range t.Slots {
		if e.Nonce == nonce {
			return i
		}
	}
	return -1
}

// heldByOther reports whether another instance has a slot for the endpoint: if two instances both believe that they own it,
// only one load is needed.
func (t slotTable) heldByOther(ep core.EndpointID, self core.InstanceID) bool {
	return slices.ContainsFunc(t.Slots, func(e slot) bool { return e.Endpoint == ep && e.Holder != self })
}

// observation is when a lease was first seen with its present renewal.
type observation struct {
	renewal int64
	at      time.Time
}

// observe records when each lease and renewal in the table was first seen, and drops what is kept of slots that are gone from it.
func (p *SlotPool) observe(now time.Time, r slotTable) {
	seen := make(map[string]observation, len(r.Slots))
	for _, e := range r.Slots {
		s, ok := p.observed[e.Nonce]
		if !ok || s.renewal != e.Renewal {
			s = observation{renewal: e.Renewal, at: now}
		}
		seen[e.Nonce] = s
	}
	p.observed = seen
	for nonce := range p.unreleased {
		if _, ok := seen[nonce]; !ok {
			delete(p.unreleased, nonce)
		}
	}
}

// expired reports whether a lease has ended, counted from when this process first observed its present renewal.
func (p *SlotPool) expired(now time.Time, e slot) bool {
	return !now.Before(p.observed[e.Nonce].at.Add(time.Duration(e.LeaseMS) * time.Millisecond))
}
