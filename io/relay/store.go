package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"snipeshed/core"
	"snipeshed/core/state"
)

// ticketPageSize bounds the tickets read in one call to the object API.
const ticketPageSize = 256

// watchTimeout is the time without a heartbeat after which a watch ends; the store sends one each second.
const watchTimeout = 3 * time.Second

var (
	errGap          = errors.New("tickets before those in the store are missing")
	errWatchTimeout = errors.New("watch received no heartbeat in time")
)

// catchUp applies the tickets in the store that this instance lacks and returns the revision of the list.
func (r *Relay) catchUp(ctx context.Context) (core.Version, error) {
	rev, err := r.readTickets(ctx)
	if errors.Is(err, errGap) {
		if err = r.loadSnapshot(ctx); err != nil {
			return 0, err
		}
		rev, err = r.readTickets(ctx)
	}
	return rev, err
}

func (r *Relay) readTickets(ctx context.Context) (core.Version, error) {
	for {
		asked := r.Clock.Now()
		callCtx, cancel := context.WithTimeout(ctx, ms(r.cfg.GetStoreTimeoutMs()))
		objects, rev, err := r.store.List(callCtx, state.TicketPrefix, state.TicketKey(r.highestTicket()), ticketPageSize)
		cancel()
		if err != nil {
			return 0, err
		}
		for _, o := range objects {
			if err := r.applyObject(o); err != nil {
				return 0, err
			}
		}
		if len(objects) < ticketPageSize {
			r.freshness.recordStoreContact(asked)
			return rev, nil
		}
	}
}

func (r *Relay) applyObject(o core.Object) error {
	t, err := state.DecodeTicket(o.Key, o.Value)
	if err != nil {
		return err
	}
	if _, err := r.applyTickets(oneTicket(t)); err != nil {
		if state.NeedsNewer(err) && uint64(r.highestTicket()) >= t.GetNumber() {
			return nil // held, to be forwarded
		}
		return err
	}
	if uint64(r.highestTicket()) < t.GetNumber() {
		return fmt.Errorf("%w: have %d, read %d", errGap, r.state.Number(), t.GetNumber())
	}
	return nil
}

// runRelayRole watches the platform while this instance is a relay of its failure domain.
func (r *Relay) runRelayRole() {
	interval := ms(r.cfg.GetGossipIntervalMs())
	stop := func() {}
	defer func() { stop() }()
	wasRelay := false
	for {
		isRelay := r.members.IsRelay(r.Clock.Now(), int(r.cfg.GetRelaysPerDomain()))
		switch {
		case isRelay && !wasRelay:
			stop = r.startRelayRole()
		case !isRelay && wasRelay:
			stop()
			stop = func() {}
		}
		wasRelay = isRelay
		if !r.sleep(r.ctx, interval) {
			return
		}
	}
}

// startRelayRole starts the watch of tickets, the polls of the instance list and the writes of snapshots. The function that it
// returns stops them and waits until they have ended.
func (r *Relay) startRelayRole() func() {
	ctx, cancel := context.WithCancel(r.ctx)
	done := make(chan struct{}, 3)
	for _, fn := range []func(context.Context){r.runWatch, r.pollList, r.writeSnapshots} {
		r.spawn(func() {
			fn(ctx)
			done <- struct{}{}
		})
	}
	r.Log.Info("watching the platform for this failure domain")
	return func() {
		cancel()
		for range cap(done) {
			<-done
		}
		r.Log.Info("no longer watching the platform")
	}
}

func (r *Relay) runWatch(ctx context.Context) {
	for ctx.Err() == nil {
		rev, err := r.catchUp(ctx)
		if err == nil {
			err = r.watchTickets(ctx, rev)
		}
		switch {
		case ctx.Err() != nil:
		case errors.Is(err, core.ErrHistoryGone):
			r.Log.WithError(err).Info("watch of tickets fell behind the history that the store keeps; listing the log again")
		default:
			r.Log.WithError(err).Debug("watch of tickets ended")
		}
		r.sleep(ctx, jittered(ms(r.cfg.GetBreakerRetryMs())))
	}
}

// watchTickets applies tickets as they are written, until the watch fails or its heartbeats stop.
func (r *Relay) watchTickets(ctx context.Context, since core.Version) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeout := time.AfterFunc(watchTimeout, func() { cancel(errWatchTimeout) })
	defer timeout.Stop()
	last := r.Clock.Now()
	err := r.store.Watch(ctx, state.TicketPrefix, since, func(c *core.Change) error {
		now := r.Clock.Now()
		if now.Sub(last) > watchTimeout {
			// Heartbeats that arrive late do not show that the state is current now.
			return errWatchTimeout
		}
		last = now
		timeout.Reset(watchTimeout)
		if c != nil && !c.Deleted {
			if err := r.applyObject(c.Object); err != nil {
				return err
			}
		}
		r.freshness.recordStoreContact(now)
		return nil
	})
	return errors.Join(err, context.Cause(ctx))
}

func (r *Relay) pollList(ctx context.Context) {
	for {
		r.readList(ctx)
		if !r.sleep(ctx, ms(r.cfg.GetListPollMs())) {
			return
		}
	}
}

func (r *Relay) readList(ctx context.Context) {
	since := r.members.Revision()
	list, revision, err := r.list.List(ctx, since)
	if err != nil {
		r.Log.WithError(err).Debug("instance list cannot be read")
		return
	}
	r.mergeList(list, since, revision)
}
