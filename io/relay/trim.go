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
	// trimInterval is short compared with the default retention; a pass that finds no old tickets costs two list calls.
	trimInterval = time.Hour
	// trimsPerRetention is the number of passes per retention if that is short; tickets then stay up to about a quarter longer.
	trimsPerRetention = 4
	// trimDeletePause limits deletions to two a second, out of several hundred writes that the object API allows. That is
	// twelve times the rate of new tickets at the target size; each deletion is also an event in the relays' watches.
	trimDeletePause = 500 * time.Millisecond
	// trimPageSize bounds the values in one page to 32 MB.
	trimPageSize = 32 // tickets
)

// trim deletes old tickets while this instance is the owner of the log by hash.
//
// It is harmless if two instances both believe that they own it: each deletes only tickets that snapshots cover.
func (g *Gossiper) trim() {
	interval := min(trimInterval, ms(g.cfg.GetTicketRetentionMs())/trimsPerRetention)
	for g.sleep(g.ctx, jittered(interval)) {
		if g.members.Owners(g.Clock.Now(), state.TicketPrefix, 1)[0].ID != g.members.Self().ID {
			continue
		}
		n, err := g.trimLog(g.ctx)
		log := g.Log.WithField("deleted", n)
		switch {
		case err != nil && g.ctx.Err() == nil:
			log.WithError(err).Warn("old tickets cannot be deleted")
		case n > 0:
			log.Info("old tickets deleted")
		}
	}
}

// trimLog deletes, lowest number first, the tickets that are older than the retention and below coveredTicket.
//
// It stops at the first error, even if only the answer to a deletion was lost: the next pass lists the tickets that remain.
func (g *Gossiper) trimLog(ctx context.Context) (deleted int, err error) {
	covered, err := g.coveredTicket(ctx)
	if err != nil {
		return 0, err
	}
	for after := ""; ; {
		page, err := g.listTickets(ctx, after)
		if err != nil || len(page) == 0 {
			return deleted, err
		}
		for _, o := range page {
			after = o.Key
			if !state.IsTicketKey(o.Key) {
				continue // an object of another writer
			}
			t, err := state.DecodeTicket(o.Key, o.Value)
			if err != nil {
				return deleted, err // may be from a newer version; an operator has to decide
			}
			age := g.Clock.Now().Sub(time.UnixMilli(t.GetAcceptedUnixMs()))
			if core.TicketNumber(t.GetNumber()) >= covered || age < ms(g.cfg.GetTicketRetentionMs()) {
				return deleted, nil
			}
			if !g.sleep(ctx, trimDeletePause) {
				return deleted, ctx.Err()
			}
			if err := g.deleteObject(ctx, o); err != nil {
				return deleted, err
			}
			deleted++
		}
	}
}

// coveredTicket returns the number of the older of the two newest snapshots, or 0 if there are fewer than two.
//
// The ticket with this number stays in the log. A reader that lacks deleted tickets therefore always finds a later one, detects
// the gap and loads a snapshot, and a reader that is loading the older snapshot finds the tickets after it.
func (g *Gossiper) coveredTicket(ctx context.Context) (core.TicketNumber, error) {
	objects, err := g.listSnapshots(ctx)
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

func (g *Gossiper) listTickets(ctx context.Context, after string) ([]core.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, ms(g.cfg.GetStoreTimeoutMs()))
	defer cancel()
	page, _, err := g.store.List(ctx, state.TicketPrefix, after, trimPageSize)
	return page, err
}

// deleteObject deletes an object; it is no error if another instance has deleted or changed it.
func (g *Gossiper) deleteObject(ctx context.Context, o core.Object) error {
	ctx, cancel := context.WithTimeout(ctx, ms(g.cfg.GetStoreTimeoutMs()))
	defer cancel()
	err := g.store.Delete(ctx, o.Key, o.Version)
	if errors.Is(err, core.ErrVersionMismatch) || errors.Is(err, core.ErrNotFound) {
		return nil
	}
	return err
}
