package core

import (
	"context"
	"errors"
	"time"
)

// Lease is a slot of the weight store that was given to this process.
type Lease struct {
	Nonce string
	// Until is when the slot ends unless it is renewed, by the clock of this process.
	Until time.Time
}

// Slots limits how many loads run at once in the fleet.
type Slots interface {
	// Acquire takes a slot for an endpoint's load; ErrNoSlot means that all are taken, or that another instance has one
	// for this endpoint.
	Acquire(ctx context.Context, ep EndpointID) (Lease, error)
	// Renew restarts the lease of a slot; ErrNoSlot means that the slot was lost.
	Renew(ctx context.Context, l Lease) (Lease, error)
	// Release gives a slot back.
	Release(ctx context.Context, l Lease) error
}

// ErrNoSlot means that no slot is free or that the slot is no longer held.
var ErrNoSlot = errors.New("no slot of the weight store")
