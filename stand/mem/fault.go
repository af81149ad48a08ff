package mem

import (
	"context"
	"errors"
	"time"

	"snipeshed/core"
)

// Op is the name of a store operation, as in core.StoreError.
type Op string

// Values of Op.
const (
	OpGet    Op = "get"
	OpPut    Op = "put"
	OpDelete Op = "delete"
	OpList   Op = "list"
	OpWatch  Op = "watch"
)

// Call describes a call to the function set by WithFaults.
type Call struct {
	Op  Op
	Key string // the prefix in case of a list or watch
	// Version is the required version of a write.
	Version core.Version
	// Number is the number of this call among the client's calls of this operation, from 1. Each poll of a watch is a call.
	Number int
}

// Fault is the fault injected into one call; the zero value injects none.
type Fault struct {
	// Delay is the time before the call takes effect. If ctx ends earlier, the call takes effect at once and its answer is
	// lost; a read fails.
	Delay time.Duration
	// Pause is the time between the effect and the answer, even if ctx ends.
	Pause time.Duration
	// Refuse fails the call with an error that says that it had no effect.
	Refuse bool
	// Drop loses the request: the call has no effect, but a write fails with an error that leaves its effect unknown.
	Drop bool
	// DeferEffect receives a function that applies a write, to be called at any time. The answer is lost.
	DeferEffect func(effect func())
	// Err is the cause of the error that the caller gets in place of the answer.
	Err error
}

var errInjectedFault = errors.New("injected fault")

// runCall counts the call, determines its fault and applies the fault and the effect. For clients with faults, determining
// the fault and applying an effect without delay is atomic.
func (m *Store) runCall(ctx context.Context, c Call, effect func() error) error {
	if m.faults != nil {
		m.faultMu.Lock()
		defer m.faultMu.Unlock()
	}
	var f Fault
	var down bool
	c.Number, down = m.countCall(c.Op)
	switch {
	case down:
		f = Fault{Refuse: true}
	case m.faults != nil:
		f = m.faults(c)
	}
	cause := f.Err
	if f.Delay > 0 {
		if err := m.waitUnlocked(ctx, f.Delay); err != nil && cause == nil {
			cause = err
		}
	}
	if cause == nil && (f.Refuse || f.Drop || f.DeferEffect != nil) {
		cause = errInjectedFault
	}
	write := c.Op == OpPut || c.Op == OpDelete
	var err error
	switch {
	case f.Refuse || f.Drop || (cause != nil && !write):
	case f.DeferEffect != nil:
		f.DeferEffect(func() { _ = effect() })
	default:
		err = effect()
	}
	if f.Pause > 0 {
		_ = m.waitUnlocked(context.WithoutCancel(ctx), f.Pause)
	}
	if cause == nil {
		return err
	}
	failed := &core.StoreError{Op: string(c.Op), Key: c.Key, Cause: cause}
	if write && !f.Refuse {
		failed.Effect = core.EffectUnknown
	}
	return failed
}

// waitUnlocked sleeps without holding faultMu, so that other calls can run meanwhile.
func (m *Store) waitUnlocked(ctx context.Context, d time.Duration) error {
	m.faultMu.Unlock()
	defer m.faultMu.Lock()
	return sleep(ctx, d)
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
