package relay

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/core/state"
	"snipeshed/wire"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

func (w *testCluster) storedTickets() (kept []*wire.Ticket) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for n := uint64(1); n <= w.accepted; n++ {
		key := state.TicketKey(core.TicketNumber(n))
		if o, found := w.store.Object(key); found {
			if t, err := state.DecodeTicket(key, o.Value); err == nil {
				kept = append(kept, t)
			}
		}
	}
	return kept
}

const (
	trimTestRetention = time.Hour
	trimTestEvery     = 10
)

// trimCluster has two instances that delete tickets and one that lags; none of them is started.
type trimCluster struct {
	*testCluster
	behind *node
}

func newTrimCluster(t *testing.T) *trimCluster {
	w := &trimCluster{testCluster: newTestCluster(t)}
	for range 3 {
		w.add("zone-0", func(s *conf.Settings) {
			s.SnapshotEvery, s.TicketRetentionMs = trimTestEvery, trimTestRetention.Milliseconds()
		})
	}
	w.behind = w.nodes[2]
	return w
}

// catchUpAndCheck reads the store into an instance and returns an error if its state is not that of the last ticket.
func (w *trimCluster) catchUpAndCheck(n *node) error {
	if _, err := n.catchUp(context.Background()); err != nil {
		return fmt.Errorf("instance cannot catch up: %w", err)
	}
	cfg := n.Config()
	if uint64(cfg.Number) != w.accepted {
		return fmt.Errorf("instance stopped at ticket %d of %d without an error", cfg.Number, w.accepted)
	}
	if w.accepted > 0 && uint64(cfg.Teams["tallinn"].GetWeight()) != w.accepted {
		return fmt.Errorf("instance at ticket %d has the state of ticket %d", cfg.Number, cfg.Teams["tallinn"].GetWeight())
	}
	return nil
}

// step runs one step of a history and returns an error if a lagging instance that returned has a wrong state.
func (w *trimCluster) step(op string) error {
	ctx := context.Background()
	switch op {
	case "accept":
		for range 7 {
			w.acceptTicket()
		}
	case "wait":
		time.Sleep(trimTestRetention * 2 / 3)
	case "snapshot", "two snapshot":
		for _, n := range w.nodes[:2] {
			if op == "snapshot" && n != w.nodes[0] {
				break
			}
			if _, err := n.catchUp(ctx); err == nil && n.state.Number() > 0 {
				at := n.state.Number()
				_ = n.writeSnapshot(ctx, at-at%trimTestEvery) // may fail in an outage
			}
		}
	case "trim":
		_, _ = w.nodes[0].trimLog(ctx)
	case "two trim":
		var both sync.WaitGroup
		both.Go(func() { _, _ = w.nodes[0].trimLog(ctx) })
		both.Go(func() { _, _ = w.nodes[1].trimLog(ctx) })
		both.Wait()
	case "lost answer", "dropped":
		left := 3
		w.deleteFault = func(key string) (bool, error) {
			if left--; left != 0 {
				return true, nil
			}
			return op == "lost answer", &core.StoreError{Op: "delete", Key: key, Effect: core.EffectUnknown, Cause: errRefused}
		}
	case "outage":
		w.setPlatformFault(platformRefuses)
	case "back":
		w.setPlatformFault(platformUp)
	case "return":
		w.setPlatformFault(platformUp)
		return w.catchUpAndCheck(w.behind)
	}
	return nil
}

// check returns an error if a ticket is missing that must not be deleted, or if a new instance cannot start from the store alone.
func (w *trimCluster) check() error {
	kept := w.storedTickets()
	for i, t := range kept {
		if i > 0 && t.GetNumber() != kept[i-1].GetNumber()+1 {
			return fmt.Errorf("the log has a gap before ticket %d", t.GetNumber())
		}
	}
	first := w.accepted + 1
	if len(kept) > 0 {
		first = kept[0].GetNumber()
	}
	objects, err := w.nodes[0].listSnapshots(context.Background())
	if err != nil {
		return err
	}
	covered := core.TicketNumber(1)
	if complete := completeSnapshots(objects); len(complete) > 1 {
		covered = complete[len(complete)-2].number
	}
	if first > uint64(covered) {
		return fmt.Errorf("ticket %d was deleted, but snapshots cover only %d", first-1, covered)
	}
	n := &node{cluster: w.testCluster, state: state.New(), peer: w.nodes[0].peer, cfg: w.nodes[0].cfg}
	n.make()
	return w.catchUpAndCheck(n)
}

// TestTrimHistories guards against deleting a ticket that two snapshots do not cover, and against an instance that starts or
// returns and takes the state of a log with deleted tickets as complete. The histories combine two instances that delete, lost
// answers, lost requests and outages.
func TestTrimHistories(t *testing.T) {
	deleted := 0
	rapid.Check(t, func(rt *rapid.T) {
		ops := rapid.SliceOfN(rapid.SampledFrom([]string{
			"accept", "accept", "wait", "wait", "snapshot", "two snapshot", "trim", "two trim", "two trim",
			"lost answer", "dropped", "outage", "back", "return",
		}), 20, 80).Draw(rt, "ops")
		var failed error
		synctest.Test(t, func(t *testing.T) {
			w := newTrimCluster(t)
			defer w.close()
			for i, op := range ops {
				if failed = w.step(op); failed != nil {
					return
				}
				fails := w.storeErr
				w.setPlatformFault(platformUp)
				if failed = w.check(); failed != nil {
					failed = fmt.Errorf("step %d, %s: %w", i, op, failed)
					return
				}
				w.setPlatformFault(fails)
			}
			deleted += int(w.accepted) - len(w.storedTickets())
		})
		if failed != nil {
			rt.Fatal(failed)
		}
	})
	t.Logf("deleted=%d", deleted)
	is.New(t).True(deleted > 100)
}

// TestTrimOfFleet guards against a fleet that deletes no tickets, or deletes them too fast or before the retention has passed,
// and against instances that return after a partition to a log with a gap.
func TestTrimOfFleet(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		const retention = 2 * time.Minute
		for range 4 {
			w.add("zone-0", func(s *conf.Settings) { s.SnapshotEvery, s.TicketRetentionMs = 10, retention.Milliseconds() })
		}
		for _, n := range w.nodes {
			n.Start()
		}
		for _, n := range w.nodes {
			<-n.Ready()
		}
		lost := w.nodes[3]
		w.setPlatformFault(func(n *node) error {
			if n == lost {
				return errRefused
			}
			return nil
		})
		w.setPeerFault(func(a, b *node) error {
			if a == lost || b == lost {
				return errRefused
			}
			return nil
		})
		deletions, youngest := map[int64]int{}, time.Hour
		w.mu.Lock()
		w.deleteFault = func(key string) (bool, error) {
			if strings.HasPrefix(key, state.TicketPrefix) {
				deletions[time.Now().Unix()]++
				o, _ := w.store.Object(key)
				if t, err := state.DecodeTicket(key, o.Value); err == nil {
					youngest = min(youngest, time.Since(time.UnixMilli(t.GetAcceptedUnixMs())))
				}
			}
			return true, nil
		}
		w.mu.Unlock()
		for range 100 {
			w.acceptTicket()
			time.Sleep(2 * time.Second)
		}
		time.Sleep(retention)
		w.mu.Lock()
		most := 0
		for _, n := range deletions {
			most = max(most, n)
		}
		w.mu.Unlock()
		is.True(youngest >= retention)
		is.True(most > 0 && most <= 3) // two a second, counted by whole seconds
		kept := w.storedTickets()
		t.Logf("first_kept=%d", kept[0].GetNumber())
		is.True(kept[0].GetNumber() > 50)
		is.True(kept[0].GetNumber() <= 90)
		is.Equal(lost.state.Number(), core.TicketNumber(0))
		w.setPeerFault(peersReachable)
		w.setPlatformFault(platformUp)
		time.Sleep(10 * time.Second)
		is.Equal(w.minNumber(), core.TicketNumber(100))
		is.Equal(lost.Config().Teams["tallinn"].GetWeight(), int64(100))
	})
}
