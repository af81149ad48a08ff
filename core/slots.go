package core

import (
	"context"
	"errors"
	"time"
)

// Lease is a time-limited slot at the weight store held by this process.
type Lease struct {
	Nonce string
	// Until is when the lease expires unless it is renewed, by the clock of this process.
	Until time.Time
}

// Slots limits how many engines of the fleet load model weights at the same time.
type Slots interface {
	// Acquire leases a slot for loading an endpoint's weights; ErrNoSlot means that all are taken, or that another
	// instance has one for this endpoint.
	Acquire(ctx context.Context, ep EndpointID) (Lease, error)
	// Renew extends a lease; ErrNoSlot means that the slot was lost.
	Renew(ctx context.Context, l Lease) (Lease, error)
	// Release returns a slot.
	Release(ctx context.Context, l Lease) error
}

// ErrNoSlot means that no slot is free or that the slot is no longer held.
var ErrNoSlot = errors.New("no slot at the weight store is free, or the slot is no longer held")
