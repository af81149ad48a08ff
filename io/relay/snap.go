package relay

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"snipeshed/core"
	"snipeshed/wire"
)

const snapshotPrefix = "snapshots/"

// maxChunkBytes stays below the object API's limit of 1 MB.
const maxChunkBytes = 900_000

// snapshotPageSize bounds one page of the snapshot list, which includes the values, to 8 MB.
const snapshotPageSize = 8 // snapshots

// keptSnapshots is two, so that an instance can finish reading one snapshot while the next is written.
const keptSnapshots = 2

func chunkKey(n core.TicketNumber, i, total int) string {
	return fmt.Sprintf("%s%010d/%04d-of-%04d", snapshotPrefix, n, i, total)
}

func parseChunkKey(key string) (n core.TicketNumber, i, total int, ok bool) {
	_, err := fmt.Sscanf(key, snapshotPrefix+"%d/%d-of-%d", &n, &i, &total)
	return n, i, total, err == nil && chunkKey(n, i, total) == key
}

// splitSnapshot splits a snapshot into chunks. The entries are ordered by key, so
// two instances that write a snapshot of the same number write the same chunks.
func splitSnapshot(s *wire.Snapshot) []*wire.Snapshot {
	part := &wire.Snapshot{Number: s.GetNumber()}
	parts := []*wire.Snapshot{part}
	size := 0
	for _, e := range s.GetEntries() {
		n := proto.Size(e)
		if size += n; size > maxChunkBytes && len(part.Entries) > 0 {
			part = &wire.Snapshot{Number: s.GetNumber()}
			parts = append(parts, part)
			size = n
		}
		part.Entries = append(part.Entries, e)
	}
	return parts
}

// writeSnapshots writes a snapshot after every snapshot_every applied tickets.
func (g *Gossiper) writeSnapshots(ctx context.Context) {
	for g.sleep(ctx, jittered(ms(g.cfg.GetGossipIntervalMs()))) {
		every := core.TicketNumber(g.cfg.GetSnapshotEvery())
		n := g.state.Number()
		g.mu.Lock()
		due := n/every > g.lastSnapshot/every
		g.mu.Unlock()
		if !due {
			continue
		}
		if err := g.writeSnapshot(ctx, n-n%every); err != nil {
			g.Log.WithError(err).Warn("snapshot cannot be written to the store")
			continue
		}
		g.mu.Lock()
		g.lastSnapshot = max(g.lastSnapshot, n)
		g.mu.Unlock()
	}
}

// writeSnapshot writes the state as a snapshot unless the store has a chunk of a snapshot whose number is at least minNumber,
// whether or not that snapshot is complete.
func (g *Gossiper) writeSnapshot(ctx context.Context, minNumber core.TicketNumber) error {
	found, _, err := g.store.List(ctx, snapshotPrefix, fmt.Sprintf("%s%010d", snapshotPrefix, minNumber), 1)
	if err != nil || len(found) > 0 {
		return err
	}
	s := g.state.Snapshot()
	parts := splitSnapshot(s)
	for i, part := range parts {
		b, err := proto.MarshalOptions{Deterministic: true}.Marshal(part)
		if err != nil {
			return err
		}
		key := chunkKey(core.TicketNumber(s.GetNumber()), i, len(parts))
		if _, err := g.store.Put(ctx, key, b, 0); err != nil && !errors.Is(err, core.ErrVersionMismatch) {
			return err
		}
	}
	g.Log.WithField("ticket", s.GetNumber()).Info("snapshot written")
	return g.deleteOldSnapshots(ctx)
}

func (g *Gossiper) deleteOldSnapshots(ctx context.Context) error {
	objects, err := g.listSnapshots(ctx)
	if err != nil {
		return err
	}
	complete := completeSnapshots(objects)
	if len(complete) <= keptSnapshots {
		return nil
	}
	oldest := complete[len(complete)-keptSnapshots].number
	for _, o := range objects {
		if n, _, _, ok := parseChunkKey(o.Key); !ok || n >= oldest {
			continue
		}
		if err := g.deleteObject(ctx, o); err != nil {
			return err
		}
	}
	return nil
}

// loadSnapshot loads the newest complete snapshot from the store if it is newer than the state.
func (g *Gossiper) loadSnapshot(ctx context.Context) error {
	objects, err := g.listSnapshots(ctx)
	if err != nil {
		return err
	}
	complete := completeSnapshots(objects)
	if len(complete) == 0 || complete[len(complete)-1].number <= g.state.Number() {
		return nil
	}
	best := complete[len(complete)-1]
	whole, err := best.decode()
	if err != nil {
		return err
	}
	g.mu.Lock()
	g.lastSnapshot = max(g.lastSnapshot, best.number)
	g.mu.Unlock()
	return g.installSnapshot(whole)
}

func (g *Gossiper) listSnapshots(ctx context.Context) ([]core.Object, error) {
	var all []core.Object
	after := ""
	for {
		callCtx, cancel := context.WithTimeout(ctx, ms(g.cfg.GetStoreTimeoutMs()))
		objects, _, err := g.store.List(callCtx, snapshotPrefix, after, snapshotPageSize)
		cancel()
		if err != nil {
			return nil, err
		}
		all = append(all, objects...)
		if len(objects) < snapshotPageSize {
			return all, nil
		}
		after = objects[len(objects)-1].Key
	}
}

type storedSnapshot struct {
	number core.TicketNumber
	chunks [][]byte
	total  int
}

// completeSnapshots returns the snapshots that have all their chunks, oldest first.
func completeSnapshots(objects []core.Object) []storedSnapshot {
	var all []storedSnapshot
	for _, o := range objects { // ordered by key, so by number and then by chunk
		n, i, total, ok := parseChunkKey(o.Key)
		if !ok {
			continue
		}
		if len(all) == 0 || all[len(all)-1].number != n {
			all = append(all, storedSnapshot{number: n, total: total})
		}
		if s := &all[len(all)-1]; i == len(s.chunks) && total == s.total {
			s.chunks = append(s.chunks, o.Value)
		}
	}
	return slices.DeleteFunc(all, func(s storedSnapshot) bool { return len(s.chunks) != s.total })
}

func (s storedSnapshot) decode() (*wire.Snapshot, error) {
	whole := &wire.Snapshot{Number: uint64(s.number)}
	for _, value := range s.chunks {
		part := &wire.Snapshot{}
		if err := proto.Unmarshal(value, part); err != nil {
			return nil, fmt.Errorf("snapshot %d is malformed: %w", s.number, err)
		}
		if part.GetNumber() != whole.GetNumber() {
			return nil, fmt.Errorf("snapshot %d has a chunk of snapshot %d", s.number, part.GetNumber())
		}
		whole.Entries = append(whole.Entries, part.GetEntries()...)
	}
	return whole, nil
}
