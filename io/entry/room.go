package entry

import (
	"fmt"
	"math/rand/v2"
	"time"

	"snipeshed/core"
	"snipeshed/core/gate"
)

// room is what one open request holds of its instance's limits.
type room struct {
	entry  *Entry
	holder gate.Holder
	weight int64
	above  int
	// bytes are those of the body: its stated length, or what has been read of a body without one.
	bytes  int64
	stated bool
}

// reserve takes room for a request with a body of the stated length, or -1 when it is not stated.
func (e *Entry) reserve(q *request, length int64) (*room, error) {
	r := &room{
		entry: e, holder: gate.Holder{Team: q.cred.Team, Rank: q.cred.Rank},
		weight: q.cfg.Teams[q.cred.Team].GetWeight(), above: q.cfg.RanksAbove(q.cred.Rank), stated: length >= 0,
	}
	if !e.requests.Enter(r.holder, 1, r.weight, r.above) {
		return nil, r.full(e.Settings.GetOpenRequestLimit(), "open requests")
	}
	if length > e.Settings.GetMaxBodyBytes() {
		length = 0 // refused for its length when it is read
	}
	if err := r.grow(max(length, 0)); err != nil {
		e.requests.Leave(r.holder, 1)
		return nil, err
	}
	return r, nil
}

// read takes room for bytes of a body whose length was not stated.
func (r *room) read(n int64) error {
	if r.stated {
		return nil
	}
	return r.grow(n)
}

func (r *room) grow(n int64) error {
	if !r.entry.bodies.Enter(r.holder, n, r.weight, r.above) {
		return r.full(r.entry.Settings.GetOpenBodyBytes(), "bytes of bodies")
	}
	r.bytes += n
	return nil
}

func (r *room) release() {
	r.entry.bodies.Leave(r.holder, r.bytes)
	r.entry.requests.Leave(r.holder, 1)
}

// full counts and returns the refusal.
func (r *room) full(limit int64, unit string) *core.Error {
	r.entry.Meter.Count("instance_full")
	return &core.Error{
		Kind: core.KindOverloaded, Run: core.RunNot, RetryAfter: time.Second + rand.N(time.Second),
		Message: fmt.Sprintf("team %q has its part of the %d %s that this instance holds for rank %q", r.holder.Team, limit, unit, r.holder.Rank),
		Remedy:  "send the request again after the stated time, with fewer open requests",
	}
}

// Open returns the open requests and the bytes of their bodies.
func (e *Entry) Open() (requests, bytes int64) { return e.requests.Used(), e.bodies.Used() }
