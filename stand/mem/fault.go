package mem

import (
	"context"
	"errors"
	"time"

	"snipeshed/core"
)

// Op names an operation as core.StoreError does.
type Op string

// Values of Op.
const (
	OpGet    Op = "get"
	OpPut    Op = "put"
	OpDelete Op = "delete"
	OpList   Op = "list"
	OpWatch  Op = "watch"
)

// Call describes a call to the function that decides its fault.
type Call struct {
	Op  Op
	Key string // or the prefix of a list or watch
	// Version is the condition of a write.
	Version core.Version
	// Number counts the calls of this operation by this client from 1; each look of a watch at the changes is a call.
	Number int
}

// Fault is what happens to one call; the zero value lets it work.
type Fault struct {
	// Delay passes before the effect; when ctx ends first, the effect comes at once and the answer is lost.
	Delay time.Duration
	// Pause passes between the effect and the answer, even if ctx ends.
	Pause time.Duration
	// Refuse fails the call, certainly without effect.
	Refuse bool
	// Drop loses the request: no effect, although the caller cannot tell.
	Drop bool
	// Later receives the effect of a write, to be called at any time, and the answer is lost.
	Later func(effect func())
	// Err is the cause of the error that the caller gets instead of the answer.
	Err error
}

var errFault = errors.New("injected fault")

// do counts the call, decides its fault and applies both. The decision and an effect without delay are one step for the
// clients that have faults.
func (m *Mem) do(ctx context.Context, c Call, effect func() error) error {
	if m.faults != nil {
		m.turn.Lock()
		defer m.turn.Unlock()
	}
	var f Fault
	var down bool
	c.Number, down = m.count(c.Op)
	switch {
	case down:
		f = Fault{Refuse: true}
	case m.faults != nil:
		f = m.faults(c)
	}
	cause := f.Err
	if f.Delay > 0 {
		if err := m.wait(ctx, f.Delay); err != nil && cause == nil {
			cause = err
		}
	}
	if cause == nil && (f.Refuse || f.Drop || f.Later != nil) {
		cause = errFault
	}
	write := c.Op == OpPut || c.Op == OpDelete
	var err error
	switch {
	case f.Refuse || f.Drop || (cause != nil && !write):
	case f.Later != nil:
		f.Later(func() { _ = effect() })
	default:
		err = effect()
	}
	if f.Pause > 0 {
		_ = m.wait(context.WithoutCancel(ctx), f.Pause)
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

// wait lets others call while this call waits.
func (m *Mem) wait(ctx context.Context, d time.Duration) error {
	m.turn.Unlock()
	defer m.turn.Lock()
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
