package state

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"snipeshed/core"
	"snipeshed/wire"
)

// Snapshot returns the whole state sorted by the keys of the items; removed items are included as removals.
func (s *State) Snapshot() *wire.Snapshot {
	s.mu.RLock()
	defer s.mu.RUnlock()
	keys := make([]string, 0, len(s.entries))
	for k := range s.entries {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	snap := &wire.Snapshot{Number: uint64(s.cfg.Load().Number), Entries: make([]*wire.Entry, len(keys))}
	for i, k := range keys {
		snap.Entries[i] = s.entries[k]
	}
	return snap
}

// Load replaces the state with a newer snapshot and drops the kept tickets; an older snapshot is ignored.
func (s *State) Load(snap *wire.Snapshot) error {
	s.changeMu.Lock()
	defer s.changeMu.Unlock()
	if core.TicketNumber(snap.GetNumber()) <= s.cfg.Load().Number {
		return nil
	}
	var required uint32
	for _, e := range snap.GetEntries() {
		required = max(required, e.GetFormat())
	}
	if err := s.checkFormat(snap.GetNumber(), required, snap); err != nil {
		return err
	}
	snap = proto.CloneOf(snap)
	cfg, err := FromSnapshot(snap)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.entries = make(map[string]*wire.Entry, len(snap.GetEntries()))
	for _, e := range snap.GetEntries() {
		s.entries[ItemKey(e.GetItem())] = e
	}
	s.recent.clear()
	s.cfg.Store(cfg)
	s.mu.Unlock()
	s.notify(cfg)
	return nil
}

// FromSnapshot returns the configuration that a snapshot holds.
func FromSnapshot(snap *wire.Snapshot) (*core.Config, error) {
	cfg := newConfig()
	cfg.Number = core.TicketNumber(snap.GetNumber())
	for _, e := range snap.GetEntries() {
		k := ItemKey(e.GetItem())
		if k == "" {
			return nil, &ItemError{Number: cfg.Number}
		}
		setItem(cfg, e.GetItem())
		cfg.SetBy[k] = core.TicketNumber(e.GetSetBy())
	}
	rebuildKeys(cfg)
	return cfg, nil
}
