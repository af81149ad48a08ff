package action

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"snipeshed/core"
	"snipeshed/core/claim"
)

const (
	// minRetention is well above recordTimeout, so that no record is removed while its holder may still write it.
	minRetention = 2 * recordTimeout
	// sweepsPerRetention lets records stay for up to an eighth longer than the retention time. More frequent sweeps would be
	// expensive, because each one reads every record with its result.
	sweepsPerRetention = 8
	// sweepPageSize limits one list answer to about 3 MB when all results have the default maximum size.
	sweepPageSize = 32 // records
	// sweepPause limits the sweep of an instance to about 20 calls per second to the object API.
	sweepPause = 50 * time.Millisecond
	// afterHex sorts after every hex digit, so listing from there skips the rest of a team's records.
	afterHex  = "~"
	hexDigits = "0123456789abcdef"
)

// WithRetention enables the removal of records that are older than d, which is raised to two hours if it is shorter. A
// removed key counts as new, so d must be longer than any client keeps retrying. Each instance removes the records that
// members assigns to it by hash.
func WithRetention(members core.Members, d time.Duration) Option {
	return func(a *Action) { a.members, a.retention = members, max(d, minRetention) }
}

// runSweeps sweeps periodically until ctx ends. The first pause is random, so that the instances sweep at different times.
func (a *Action) runSweeps(ctx context.Context) {
	every := a.retention / sweepsPerRetention
	for wait := rand.N(every); sleep(ctx, wait); wait = every {
		n, err := a.sweep(ctx)
		log := a.Log.WithField("removed", n)
		if err != nil {
			log.WithError(err).Warn("action_sweep_failed")
			continue
		}
		log.Info("action_sweep")
	}
}

// sweep removes the old records that are assigned to this instance and returns their number. It lists services and teams
// from the store, because the configuration lacks those that have been removed.
func (a *Action) sweep(ctx context.Context) (int, error) {
	const root = "actions/"
	removed := 0
	for after := root; ; {
		first, err := a.listPage(ctx, root, after, 1)
		if err != nil || len(first) == 0 {
			return removed, err
		}
		team := first[0].Key[:strings.LastIndexByte(first[0].Key, '/')+1]
		for _, digit := range hexDigits {
			n, err := a.sweepPrefix(ctx, team+string(digit))
			if removed += n; err != nil {
				return removed, err
			}
		}
		after = team + afterHex
	}
}

func (a *Action) sweepPrefix(ctx context.Context, prefix string) (int, error) {
	owners := a.members.Owners(a.Clock.Now(), prefix, 1)
	if len(owners) == 0 || owners[0].ID != a.instance {
		return 0, nil
	}
	removed := 0
	for after := ""; ; {
		list, err := a.listPage(ctx, prefix, after, sweepPageSize)
		if err != nil || len(list) == 0 {
			return removed, err
		}
		for _, o := range list {
			after = o.Key
			rec, err := claim.Parse(o.Value)
			// A malformed record may come from a newer version, so it is left to the operators.
			if err != nil || rec.NeedsNewerVersion() || !rec.Expired(a.Clock.Now().Add(-a.retention)) {
				continue
			}
			if !sleep(ctx, sweepPause) {
				return removed, ctx.Err()
			}
			// A conflict means that a later call has changed the record.
			if err := a.removeRecord(ctx, o); err == nil {
				removed++
			}
		}
	}
}

func (a *Action) listPage(ctx context.Context, prefix, after string, limit int) ([]core.Object, error) {
	if !sleep(ctx, sweepPause) {
		return nil, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, milliseconds(a.cfg.GetStoreTimeoutMs()))
	defer cancel()
	list, _, err := a.store.List(ctx, prefix, after, limit)
	if err != nil {
		return nil, fmt.Errorf("listing %q after %q failed: %w", prefix, after, err)
	}
	return list, nil
}

func (a *Action) removeRecord(ctx context.Context, o core.Object) error {
	ctx, cancel := context.WithTimeout(ctx, milliseconds(a.cfg.GetStoreTimeoutMs()))
	defer cancel()
	return a.store.Delete(ctx, o.Key, o.Version)
}
