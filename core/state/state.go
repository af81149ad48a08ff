package state

import (
	"fmt"
	"sync"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"snipeshed/core"
	"snipeshed/wire"
)

const (
	// defaultKeepTickets is twice the tickets between two snapshots, so that a peer
	// that is less than one snapshot behind can catch up ticket by ticket.
	defaultKeepTickets = 2048
	// defaultKeepBytes bounds the kept tickets when many of them are close to 1 MB.
	defaultKeepBytes = 16 << 20
)

// State is the fold of the ticket log; it only moves forward and is safe for concurrent use.
type State struct {
	cfg    atomic.Pointer[core.Config]
	format uint32

	// change serializes Apply, Load and Subscribe, so that subscribers see configurations in order.
	change sync.Mutex
	subs   []func(*core.Config)

	// mu guards the fields below; subscribers run without it and may read the state.
	mu      sync.RWMutex
	entries map[string]*wire.Entry
	recent  recent
}

// Option changes a State while it is made.
type Option func(*State)

// WithKept sets how many tickets, and how many bytes of them, are kept for Since and Lookup.
func WithKept(tickets, bytes int) Option {
	return func(s *State) { s.recent.maxTickets, s.recent.maxBytes = tickets, bytes }
}

// New returns the empty state before the first ticket.
func New(opts ...Option) *State {
	s := &State{
		format:  Format,
		entries: map[string]*wire.Entry{},
		recent:  newRecent(defaultKeepTickets, defaultKeepBytes),
	}
	s.cfg.Store(newConfig())
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Config returns the configuration in force without taking a lock; callers must not change it.
func (s *State) Config() *core.Config { return s.cfg.Load() }

// Number returns the number of the last applied ticket.
func (s *State) Number() core.TicketNumber { return s.cfg.Load().Number }

// GapError says that tickets are missing between the state and a ticket.
type GapError struct {
	Have core.TicketNumber
	Got  core.TicketNumber
}

// Error names the missing tickets.
func (e *GapError) Error() string {
	return fmt.Sprintf("ticket %d cannot be applied after ticket %d; fetch ticket %d first", e.Got, e.Have, e.Have+1)
}

// Apply applies the next ticket; an older one is ignored, a later one returns a *GapError, and one that this version knows
// in part only a *FormatError or *ItemError.
func (s *State) Apply(t *wire.Ticket) error {
	s.change.Lock()
	defer s.change.Unlock()
	old := s.cfg.Load()
	n := core.TicketNumber(t.GetNumber())
	if n <= old.Number {
		return nil
	}
	if n > old.Number+1 {
		return &GapError{Have: old.Number, Got: n}
	}
	if err := s.checkFormat(t.GetNumber(), t.GetFormat(), t); err != nil {
		return err
	}
	t = proto.CloneOf(t)
	cfg, err := Fold(old, t)
	if err != nil {
		return err
	}
	s.mu.Lock()
	for _, item := range t.GetItems() {
		s.entries[ItemKey(item)] = &wire.Entry{Item: item, SetBy: t.GetNumber(), Format: t.GetFormat()}
	}
	s.recent.add(t)
	s.cfg.Store(cfg)
	s.mu.Unlock()
	s.notify(cfg)
	return nil
}

// Since returns up to limit tickets after n in order; it returns false when some of them are no longer kept.
func (s *State) Since(n core.TicketNumber, limit int) ([]*wire.Ticket, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if n >= s.cfg.Load().Number {
		return nil, true
	}
	return s.recent.since(n, limit)
}

// Lookup returns a kept ticket by its id.
func (s *State) Lookup(id string) (*wire.Ticket, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	t, ok := s.recent.byID[id]
	return t, ok
}

// Subscribe calls fn with the configuration in force and then with each newer one, in order.
// Fn may read the state, but must neither change it nor subscribe.
func (s *State) Subscribe(fn func(*core.Config)) {
	s.change.Lock()
	defer s.change.Unlock()
	s.subs = append(s.subs, fn)
	fn(s.cfg.Load())
}

func (s *State) notify(cfg *core.Config) {
	for _, fn := range s.subs {
		fn(cfg)
	}
}
