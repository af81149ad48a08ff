package core

import (
	"context"
	"errors"
	"time"
)

// SlotLease is a time-limited slot at the weight store held by this process.
type SlotLease struct {
	Nonce string
	// Until is when the lease expires unless it is renewed, by the clock of this process.
	Until time.Time
}

// WeightSlots limits how many engines of the fleet load model weights at the same time.
type WeightSlots interface {
	// Acquire leases a slot for loading an endpoint's weights; ErrNoSlot means that all are taken, or that another
	// instance has one for this endpoint.
	Acquire(ctx context.Context, ep EndpointID) (SlotLease, error)
	// Renew extends a lease; ErrNoSlot means that the slot was lost.
	Renew(ctx context.Context, l SlotLease) (SlotLease, error)
	// Release returns a slot.
	Release(ctx context.Context, l SlotLease) error
}

// ErrNoSlot means that no slot is free or that the slot is no longer held.
var ErrNoSlot = errors.New("no slot at the weight store is free, or the slot is no longer held")
