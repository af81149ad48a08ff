package plat

import (
	"maps"
	"slices"
	"strings"
)

// StoreCopy is a copy of what a store holds.
type StoreCopy struct {
	revision, oldestWatchable uint64
	objects                   map[string]object
	history                   []change
}

// Copy returns a copy of what the store holds now.
func (s *Store) Copy() StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreCopy{s.revision, s.oldestWatchable, maps.Clone(s.objects), slices.Clone(s.history)}
}

// Restore lets the store come back from a copy: what was written since is gone, its revisions are given out again, and the era rises. Waiting
// watches are cut off. The store may be away before, by SetFault; the fault ends.
func (s *Store) Restore(c StoreCopy) {
	s.mu.Lock()
	s.revision, s.oldestWatchable = c.revision, c.oldestWatchable
	s.objects, s.history = maps.Clone(c.objects), slices.Clone(c.history)
	s.era++
	s.fault = FaultNone
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	s.CloseClientConnections()
}

// Era returns the number of the store's present history, which begins at 1.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Revision returns the store's present revision.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Revision returns the revision at which the copy was made.
func (c StoreCopy) Revision() uint64 { return c.revision }

// Count returns the number of objects of a kind.
func (s *Store) Count(kind string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.objects {
		if strings.HasPrefix(key, kind+"/") {
			n++
		}
	}
	return n
}
