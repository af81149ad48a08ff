package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"snipeshed/core"
	"snipeshed/core/state"
)

const (
	// trimInterval is short against the default retention; a pass without old tickets costs two lists.
	trimInterval = time.Hour
	// trimsPerRetention makes tickets stay for up to about a quarter longer when the retention is short.
	trimsPerRetention = 4
	// trimPause limits deletions to two a second, of several hundred writes that the object API allows. That is twelve
	// times the rate of new tickets at the target size, and each deletion is also an event in the relays' watches.
	trimPause = 500 * time.Millisecond
	// trimPage bounds the values in one answer to 32 MB.
	trimPage = 32
)

// trim deletes old tickets while the hash assigns the log to this instance.
//
// Two instances that both believe that they do it are harmless: each deletes only what snapshots cover.
func (r *Relay) trim() {
	interval := min(trimInterval, ms(r.cfg.GetTicketRetentionMs())/trimsPerRetention)
	for r.sleep(r.ctx, jittered(interval)) {
		if r.members.Owners(r.Clock.Now(), state.TicketPrefix, 1)[0].ID != r.members.Self().ID {
			continue
		}
		n, err := r.trimLog(r.ctx)
		log := r.Log.WithField("deleted", n)
		switch {
		case err != nil && r.ctx.Err() == nil:
			log.WithError(err).Warn("old tickets cannot be deleted")
		case n > 0:
			log.Info("old tickets deleted")
		}
	}
}

// trimLog deletes the tickets that are older than the retention and below the covered number, lowest first.
//
// It ends at the first failure, also when the answer to a deletion was lost: the next pass lists what is left.
func (r *Relay) trimLog(ctx context.Context) (deleted int, err error) {
	covered, err := r.covered(ctx)
	if err != nil {
		return 0, err
	}
	for after := ""; ; {
		page, err := r.listTickets(ctx, after)
		if err != nil || len(page) == 0 {
			return deleted, err
		}
		for _, o := range page {
			t, err := state.DecodeTicket(o.Key, o.Value)
			if err != nil {
				return deleted, err // perhaps of a newer version; operators decide about it
			}
			age := r.Clock.Now().Sub(time.UnixMilli(t.GetAcceptedUnixMs()))
			if core.TicketNumber(t.GetNumber()) >= covered || age < ms(r.cfg.GetTicketRetentionMs()) {
				return deleted, nil
			}
			if !r.sleep(ctx, trimPause) {
				return deleted, ctx.Err()
			}
			if err := r.deleteObject(ctx, o); err != nil {
				return deleted, err
			}
			deleted++
			after = o.Key
		}
	}
}

// covered returns the number of the older one of the two newest snapshots, or 0 when there are not two.
//
// The ticket with this number stays in the log. A reader that is behind the deleted tickets therefore always finds a
// later one, sees the gap and loads a snapshot, and one that is loading the older snapshot finds the tickets after it.
func (r *Relay) covered(ctx context.Context) (core.TicketNumber, error) {
	objects, err := r.listSnapshots(ctx)
	if err != nil {
		return 0, err
	}
	complete := completeSnapshots(objects)
	if len(complete) < keptSnapshots {
		return 0, nil
	}
	kept := complete[len(complete)-keptSnapshots:]
	for _, s := range kept {
		snap, err := s.decode()
		if err != nil {
			return 0, err
		}
		if _, err := state.FromSnapshot(snap); err != nil {
			return 0, fmt.Errorf("snapshot %d cannot be loaded: %w", s.number, err)
		}
	}
	return kept[0].number, nil
}

func (r *Relay) listTickets(ctx context.Context, after string) ([]core.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, ms(r.cfg.GetStoreTimeoutMs()))
	defer cancel()
	page, _, err := r.store.List(ctx, state.TicketPrefix, after, trimPage)
	return page, err
}

// deleteObject deletes an object that another instance may delete at the same time.
func (r *Relay) deleteObject(ctx context.Context, o core.Object) error {
	ctx, cancel := context.WithTimeout(ctx, ms(r.cfg.GetStoreTimeoutMs()))
	defer cancel()
	err := r.store.Delete(ctx, o.Key, o.Version)
	if errors.Is(err, core.ErrVersion) || errors.Is(err, core.ErrNotFound) {
		return nil
	}
	return err
}
