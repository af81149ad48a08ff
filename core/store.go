package core

import (
	"context"
	"errors"
	"fmt"
)

// Object is a value in the platform's object API.
type Object struct {
	Key     string
	Value   []byte
	Version Version
}

// Change is one event of a watch; a deleted object has no value.
type Change struct {
	Object
	Deleted bool
}

// Store is the platform's object API.
type Store interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes the object if its version is still ifVersion; 0 means that it must not exist.
	Put(ctx context.Context, key string, value []byte, ifVersion Version) (Version, error)
	// Delete removes the object if its version is still ifVersion.
	Delete(ctx context.Context, key string, ifVersion Version) error
	// List returns up to limit objects with the prefix, in key order after the given key, and the revision of the answer.
	List(ctx context.Context, prefix, after string, limit int) ([]Object, Version, error)
	// Watch calls fn with each change after the revision, and with nil for each heartbeat, until ctx ends or the watch
	// fails; it returns ErrHistoryGone when the store no longer has the changes after the revision.
	Watch(ctx context.Context, prefix string, since Version, fn func(*Change) error) error
	// Reachable reports whether the object API is considered reachable.
	Reachable() bool
}

// EraStore is the part of an object API with eras that instances read. The versions of the objects that it returns count in the era of
// the revision that belongs to them.
type EraStore interface {
	// List returns up to limit objects with the prefix, in key order after the given key, and the revision of the answer. It returns
	// ErrHistoryGone when the era has changed between the pages of the list.
	List(ctx context.Context, prefix, after string, limit int) ([]Object, Revision, error)
	// Watch calls fn with each change after the revision, and with nil for each heartbeat, until ctx ends or the watch fails. It returns
	// ErrHistoryGone when the store no longer has the changes after the revision, or has another era.
	Watch(ctx context.Context, prefix string, since Revision, fn func(*Change) error) error
}

// ErrNotFound means that an object does not exist.
var ErrNotFound = errors.New("object not found")

// ErrVersionMismatch means that the object's version does not match that of a conditional update.
var ErrVersionMismatch = errors.New("object version does not match")

// ErrHistoryGone means that a watch cannot start at a revision because the store no longer has the changes after it; the
// reader has to list the objects again.
var ErrHistoryGone = errors.New("store no longer has the changes after this revision")

// Effect states whether a failed write may have taken effect.
type Effect int

// Values of Effect.
const (
	// EffectNone means that the write certainly had no effect.
	EffectNone Effect = iota
	// EffectUnknown means that the write may have taken effect, now or later.
	EffectUnknown
)

// StoreError is a failed call of the object API.
type StoreError struct {
	Op     string
	Key    string
	Effect Effect
	Cause  error
}

// Error returns the operation, key and cause.
func (e *StoreError) Error() string {
	effect := "it had no effect"
	if e.Effect == EffectUnknown {
		effect = "it may have taken effect; read the object back"
	}
	return fmt.Sprintf("%s %q failed: %v; %s", e.Op, e.Key, e.Cause, effect)
}

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error { return e.Cause }

// MayHaveTakenEffect reports whether a failed write may have changed the store.
func MayHaveTakenEffect(err error) bool {
	var e *StoreError
	return errors.As(err, &e) && e.Effect == EffectUnknown
}
