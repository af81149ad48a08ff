package driver

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"snipeshed/core"
)

// slowRunner takes a while to read an order, and does not read one whose sender gave up.
type slowRunner struct {
	core.Runner

	delay  time.Duration
	orders int
}

func (r *slowRunner) SendOrder(ctx context.Context, _ core.RunnerOrder) error {
	select {
	case <-time.After(r.delay):
		r.orders++
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// heldSlots counts the slots that are taken.
type heldSlots struct {
	unlimitedSlots

	held int
}

func (s *heldSlots) Acquire(context.Context, core.EndpointID) (core.SlotLease, error) {
	s.held++
	return core.SlotLease{Nonce: "n", Until: time.Now().Add(time.Minute)}, nil
}

func (s *heldSlots) Release(context.Context, core.SlotLease) error {
	s.held--
	return nil
}

// Guards against an owner that stops while it sends an order: the order was cut off, so that the endpoint did not load, and
// its slot of the weight store stayed taken until the lease ended.
func TestOrderFinishedAtStop(t *testing.T) {
	for name, tt := range map[string]struct {
		delay  time.Duration
		orders int
	}{
		"the endpoint reads the order": {100 * time.Millisecond, 1},
		"the endpoint does not answer": {time.Hour, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				log := logrus.New()
				log.SetOutput(io.Discard)
				r, slots := &slowRunner{delay: tt.delay}, &heldSlots{}
				d := New(core.NewCommon(logrus.NewEntry(log)), "e1", r, WithSlots(slots))
				d.SetWanted(core.RunnerOrder{Number: 2, Model: "m", Version: "2"}, true)
				d.RecordReport(core.RunnerLoad{Model: "m", Version: "1", OrderNumber: 1})
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan struct{})
				go func() {
					d.Run(ctx)
					close(ended)
				}()
				time.Sleep(50 * time.Millisecond)
				synctest.Wait()
				is.Equal(slots.held, 1)
				stopped := time.Now()
				cancel()
				<-ended
				is.Equal(r.orders, tt.orders)
				is.True(time.Since(stopped) <= 2*stopTimeout)
			})
		})
	}
}
