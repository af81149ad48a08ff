package entry

import (
	"fmt"
	"math/rand/v2"
	"time"

	"snipeshed/core"
	"snipeshed/core/quota"
)

// reservation is what one open request holds of its instance's limits.
type reservation struct {
	entry  *Entry
	holder quota.Holder
	weight int64
	above  int
	// bytes are those of the body: its stated length, or what has been read of a body without one.
	bytes  int64
	stated bool
}

// reserve makes the reservation of a request with a body of the stated length, -1 when it is not stated.
func (e *Entry) reserve(q *request, length int64) (*reservation, error) {
	r := &reservation{
		entry: e, holder: quota.Holder{Team: q.cred.Team, Rank: q.cred.Rank},
		weight: q.cfg.Teams[q.cred.Team].GetWeight(), above: q.cfg.RanksAbove(q.cred.Rank), stated: length >= 0,
	}
	if !e.requests.Acquire(r.holder, 1, r.weight, r.above) {
		return nil, r.full(e.Settings.GetOpenRequestLimit(), "open requests")
	}
	if length > e.Settings.GetMaxBodyBytes() {
		length = 0 // refused for its length when it is read
	}
	if err := r.grow(max(length, 0)); err != nil {
		e.requests.Release(r.holder, 1)
		return nil, err
	}
	return r, nil
}

// read reserves bytes of a body whose length was not stated.
func (r *reservation) read(n int64) error {
	if r.stated {
		return nil
	}
	return r.grow(n)
}

func (r *reservation) grow(n int64) error {
	if !r.entry.bodies.Acquire(r.holder, n, r.weight, r.above) {
		return r.full(r.entry.Settings.GetOpenBodyBytes(), "bytes of bodies")
	}
	r.bytes += n
	return nil
}

func (r *reservation) release() {
	r.entry.bodies.Release(r.holder, r.bytes)
	r.entry.requests.Release(r.holder, 1)
}

// full counts and returns the refusal.
func (r *reservation) full(limit int64, unit string) *core.Error {
	r.entry.Meter.Count("instance_full")
	return &core.Error{
		Kind: core.KindOverloaded, Run: core.RunNot, RetryAfter: time.Second + rand.N(time.Second),
		Message: fmt.Sprintf("team %q has its part of the %d %s that this instance holds for rank %q", r.holder.Team, limit, unit, r.holder.Rank),
		Remedy:  "send the request again after the stated time, with fewer open requests",
	}
}

// Open returns the open requests and the bytes of their bodies.
func (e *Entry) Open() (requests, bytes int64) { return e.requests.Used(), e.bodies.Used() }
