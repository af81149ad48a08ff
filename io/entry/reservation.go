package entry

import (
	"fmt"
	"math/rand/v2"
	"time"

	"snipeshed/core"
	"snipeshed/core/quota"
)

// reservation is the share of the instance's limits that one open request holds.
type reservation struct {
	entry      *Entry
	holder     quota.Holder
	weight     int64
	ranksAbove int
	// bodyBytes is the Content-Length of the body, or the bytes read so far if the request has none.
	bodyBytes    int64
	lengthStated bool
}

// reserveCapacity reserves an open request and the bytes of its body; length is the Content-Length, or -1 if it is unknown.
func (e *Entry) reserveCapacity(q *request, length int64) (*reservation, error) {
	r := &reservation{
		entry: e, holder: quota.Holder{Team: q.cred.Team, Rank: q.cred.Rank},
		weight: q.cfg.Teams[q.cred.Team].GetWeight(), ranksAbove: q.cfg.RanksAbove(q.cred.Rank), lengthStated: length >= 0,
	}
	if !e.openRequests.Acquire(r.holder, 1, r.weight, r.ranksAbove) {
		return nil, r.limitExceeded(e.Settings.GetOpenRequestLimit(), "open requests")
	}
	if length > e.Settings.GetMaxBodyBytes() {
		length = 0 // reading the body fails with body_too_large
	}
	if err := r.reserveBytes(max(length, 0)); err != nil {
		e.openRequests.Release(r.holder, 1)
		return nil, err
	}
	return r, nil
}

// reserveRead reserves n bytes that were read from a body of unknown length.
func (r *reservation) reserveRead(n int64) error {
	if r.lengthStated {
		return nil
	}
	return r.reserveBytes(n)
}

func (r *reservation) reserveBytes(n int64) error {
	if !r.entry.openBodyBytes.Acquire(r.holder, n, r.weight, r.ranksAbove) {
		return r.limitExceeded(r.entry.Settings.GetOpenBodyBytes(), "bytes of bodies")
	}
	r.bodyBytes += n
	return nil
}

func (r *reservation) release() {
	r.entry.openBodyBytes.Release(r.holder, r.bodyBytes)
	r.entry.openRequests.Release(r.holder, 1)
}

// limitExceeded counts the refusal and returns its error.
func (r *reservation) limitExceeded(limit int64, unit string) *core.Error {
	r.entry.Meter.Count("instance_full")
	return &core.Error{
		Kind: core.KindOverloaded, Execution: core.NotExecuted, RetryAfter: time.Second + rand.N(time.Second),
		Message: fmt.Sprintf("team %q has its part of the %d %s that this instance holds for rank %q", r.holder.Team, limit, unit, r.holder.Rank),
		Remedy:  "send the request again after the stated time, with fewer open requests",
	}
}

// OpenRequests returns the number of open requests and the bytes reserved for their bodies.
func (e *Entry) OpenRequests() (requests, bytes int64) {
	return e.openRequests.Used(), e.openBodyBytes.Used()
}
