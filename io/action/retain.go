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
	// minRetention is well above recordLimit, so that no record is removed while its holder still writes it.
	minRetention = 2 * recordLimit
	// sweepsPerRetention makes records stay for up to an eighth longer; a sweep reads every record, results included.
	sweepsPerRetention = 8
	// sweepPage limits one answer to about 3 MB of results of the default largest size.
	sweepPage = 32
	// sweepPause limits an instance to about 20 of the object API's calls per second.
	sweepPause = 50 * time.Millisecond
	// afterHex sorts behind every hex digit, so a list after it skips one team's records.
	afterHex  = "~"
	hexDigits = "0123456789abcdef"
)

// WithRetention removes records that are older than d, at least two hours. A removed key counts as new, so d must be longer
// than any client goes on retrying. Each instance removes the part that members assign to it by hash.
func WithRetention(members core.Members, d time.Duration) Option {
	return func(a *Action) { a.members, a.retention = members, max(d, minRetention) }
}

// retain sweeps until ctx ends; the random share of the first pause spreads the instances.
func (a *Action) retain(ctx context.Context) {
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

// sweep removes this instance's part of the old records. It finds services and teams in the store rather than in the
// configuration, from which they may have been removed.
func (a *Action) sweep(ctx context.Context) (int, error) {
	const root = "actions/"
	removed := 0
	for after := root; ; {
		first, err := a.page(ctx, root, after, 1)
		if err != nil || len(first) == 0 {
			return removed, err
		}
		team := first[0].Key[:strings.LastIndexByte(first[0].Key, '/')+1]
		for _, digit := range hexDigits {
			n, err := a.sweepPart(ctx, team+string(digit))
			if removed += n; err != nil {
				return removed, err
			}
		}
		after = team + afterHex
	}
}

func (a *Action) sweepPart(ctx context.Context, prefix string) (int, error) {
	owners := a.members.Owners(a.Clock.Now(), prefix, 1)
	if len(owners) == 0 || owners[0].ID != a.instance {
		return 0, nil
	}
	removed := 0
	for after := ""; ; {
		list, err := a.page(ctx, prefix, after, sweepPage)
		if err != nil || len(list) == 0 {
			return removed, err
		}
		for _, o := range list {
			after = o.Key
			rec, err := claim.Parse(o.Value)
			// A malformed record may be of a newer version; operators decide about it.
			if err != nil || rec.NeedsNewerVersion() || !rec.Expired(a.Clock.Now().Add(-a.retention)) {
				continue
			}
			if !sleep(ctx, sweepPause) {
				return removed, ctx.Err()
			}
			// A conflict means that the record is in use again.
			if err := a.remove(ctx, o); err == nil {
				removed++
			}
		}
	}
}

func (a *Action) page(ctx context.Context, prefix, after string, limit int) ([]core.Object, error) {
	if !sleep(ctx, sweepPause) {
		return nil, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, ms(a.cfg.GetStoreTimeoutMs()))
	defer cancel()
	list, _, err := a.store.List(ctx, prefix, after, limit)
	if err != nil {
		return nil, fmt.Errorf("listing %q after %q failed: %w", prefix, after, err)
	}
	return list, nil
}

func (a *Action) remove(ctx context.Context, o core.Object) error {
	ctx, cancel := context.WithTimeout(ctx, ms(a.cfg.GetStoreTimeoutMs()))
	defer cancel()
	return a.store.Delete(ctx, o.Key, o.Version)
}
