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
func (g *Gossiper) catchUp(ctx context.Context) (core.Version, error) {
	rev, err := g.readTickets(ctx)
	if errors.Is(err, errGap) {
		if err = g.loadSnapshot(ctx); err != nil {
			return 0, err
		}
		rev, err = g.readTickets(ctx)
	}
	return rev, err
}

func (g *Gossiper) readTickets(ctx context.Context) (core.Version, error) {
	after := state.TicketKey(g.highestTicket())
	for {
		asked := g.Clock.Now()
		callCtx, cancel := context.WithTimeout(ctx, ms(g.cfg.GetStoreTimeoutMs()))
		objects, rev, err := g.store.List(callCtx, state.TicketPrefix, after, ticketPageSize)
		cancel()
		if err != nil {
			return 0, err
		}
		for _, o := range objects {
			if err := g.applyObject(o); err != nil {
				return 0, err
			}
			after = o.Key
		}
		if len(objects) < ticketPageSize {
			g.freshness.recordStoreContact(asked)
			return rev, nil
		}
	}
}

func (g *Gossiper) applyObject(o core.Object) error {
	if !state.IsTicketKey(o.Key) {
		g.Log.WithField("key", o.Key).Debug("object of another writer among the tickets is left out")
		return nil
	}
	t, err := state.DecodeTicket(o.Key, o.Value)
	if err != nil {
		return err
	}
	if _, err := g.applyTickets(oneTicket(t)); err != nil {
		if state.NeedsNewer(err) && uint64(g.highestTicket()) >= t.GetNumber() {
			return nil // held, to be forwarded
		}
		return err
	}
	if uint64(g.highestTicket()) < t.GetNumber() {
		return fmt.Errorf("%w: have %d, read %d", errGap, g.state.Number(), t.GetNumber())
	}
	return nil
}

// runRelayRole watches the platform while this instance is a relay of its failure domain.
func (g *Gossiper) runRelayRole() {
	interval := ms(g.cfg.GetGossipIntervalMs())
	stop := func() {}
	defer func() { stop() }()
	wasRelay := false
	for {
		isRelay := g.members.IsRelay(g.Clock.Now(), int(g.cfg.GetRelaysPerDomain()))
		switch {
		case isRelay && !wasRelay:
			stop = g.startRelayRole()
		case !isRelay && wasRelay:
			stop()
			stop = func() {}
		}
		wasRelay = isRelay
		if !g.sleep(g.ctx, interval) {
			return
		}
	}
}

// startRelayRole starts the watch of tickets, the polls of the instance list and the writes of snapshots. The function that it
// returns stops them and waits until they have ended.
func (g *Gossiper) startRelayRole() func() {
	ctx, cancel := context.WithCancel(g.ctx)
	done := make(chan struct{}, 3)
	for what, fn := range map[string]func(context.Context){
		"watching tickets": g.runWatch, "polling the instance list": g.pollList, "writing snapshots": g.writeSnapshots,
	} {
		g.running.Go(func() {
			g.Supervise(ctx, what, func() { fn(ctx) })
			done <- struct{}{}
		})
	}
	g.Log.Info("watching the platform for this failure domain")
	return func() {
		cancel()
		for range cap(done) {
			<-done
		}
		g.Log.Info("no longer watching the platform")
	}
}

func (g *Gossiper) runWatch(ctx context.Context) {
	for ctx.Err() == nil {
		rev, err := g.catchUp(ctx)
		if err == nil {
			err = g.watchTickets(ctx, rev)
		}
		switch {
		case ctx.Err() != nil:
		case errors.Is(err, core.ErrHistoryGone):
			g.Log.WithError(err).Info("watch of tickets fell behind the history that the store keeps; listing the log again")
		default:
			g.Log.WithError(err).Debug("watch of tickets ended")
		}
		g.sleep(ctx, jittered(ms(g.cfg.GetBreakerRetryMs())))
	}
}

// watchTickets applies tickets as they are written, until the watch fails or its heartbeats stop.
func (g *Gossiper) watchTickets(ctx context.Context, since core.Version) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeout := time.AfterFunc(watchTimeout, func() { cancel(errWatchTimeout) })
	defer timeout.Stop()
	last := g.Clock.Now()
	err := g.store.Watch(ctx, state.TicketPrefix, since, func(c *core.Change) error {
		now := g.Clock.Now()
		if now.Sub(last) > watchTimeout {
			// Heartbeats that arrive late do not show that the state is current now.
			return errWatchTimeout
		}
		last = now
		timeout.Reset(watchTimeout)
		if c != nil && !c.Deleted {
			if err := g.applyObject(c.Object); err != nil {
				return err
			}
		}
		g.freshness.recordStoreContact(now)
		return nil
	})
	return errors.Join(err, context.Cause(ctx))
}

func (g *Gossiper) pollList(ctx context.Context) {
	for {
		g.readList(ctx)
		if !g.sleep(ctx, ms(g.cfg.GetListPollMs())) {
			return
		}
	}
}

func (g *Gossiper) readList(ctx context.Context) {
	since := g.members.Revision()
	list, revision, err := g.list.List(ctx, since)
	if err != nil {
		g.Log.WithError(err).Debug("instance list cannot be read")
		return
	}
	g.mergeList(list, since, revision)
}
