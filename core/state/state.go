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
	// defaultMaxTickets is twice the number of tickets between two snapshots, so that a peer that is
	// less than one snapshot behind can catch up ticket by ticket.
	defaultMaxTickets = 2048
	// defaultMaxBytes bounds the memory of the kept tickets when many of them are close to 1 MB.
	defaultMaxBytes = 16 << 20
)

// State is the result of applying the ticket log in order; its ticket number never decreases. It is safe for concurrent
// use.
type State struct {
	cfg       atomic.Pointer[core.Config]
	maxFormat uint32

	// changeMu serializes Apply, Load and Subscribe, so that subscribers see configurations in order.
	changeMu    sync.Mutex
	subscribers []func(*core.Config)

	// mu guards the fields below. It is not held while subscribers run, so that they may read the state.
	mu      sync.RWMutex
	entries map[string]*wire.Entry
	recent  recent
}

// Option configures a State.
type Option func(*State)

// WithTicketLimits limits the number and the total size of the tickets that are kept for TicketsAfter and TicketByID.
func WithTicketLimits(tickets, bytes int) Option {
	return func(s *State) { s.recent.maxTickets, s.recent.maxBytes = tickets, bytes }
}

// New returns the empty state, before the first ticket.
func New(opts ...Option) *State {
	s := &State{
		maxFormat: Format,
		entries:   map[string]*wire.Entry{},
		recent:    newRecent(defaultMaxTickets, defaultMaxBytes),
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

// GapError means that tickets are missing between the last applied ticket and the given one.
type GapError struct {
	Have core.TicketNumber
	Got  core.TicketNumber
}

// Error names both tickets and the first missing one.
func (e *GapError) Error() string {
	return fmt.Sprintf("ticket %d cannot be applied after ticket %d; fetch ticket %d first", e.Got, e.Have, e.Have+1)
}

// Apply applies the next ticket and ignores an older one. It returns a *GapError for a later ticket, and a *FormatError or
// an *ItemError for a ticket that this version does not support in full.
func (s *State) Apply(t *wire.Ticket) error {
	s.changeMu.Lock()
	defer s.changeMu.Unlock()
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

// TicketsAfter returns up to limit tickets after n in order. Its second result is false when some of them are no longer
// kept.
func (s *State) TicketsAfter(n core.TicketNumber, limit int) ([]*wire.Ticket, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if n >= s.cfg.Load().Number {
		return nil, true
	}
	return s.recent.after(n, limit)
}

// TicketByID returns the ticket with an id, if it is still kept.
func (s *State) TicketByID(id string) (*wire.Ticket, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	t, ok := s.recent.byID[id]
	return t, ok
}

// Subscribe calls fn with the configuration in force and then with each newer one, in order.
// The function fn may read the state, but must neither change it nor subscribe.
func (s *State) Subscribe(fn func(*core.Config)) {
	s.changeMu.Lock()
	defer s.changeMu.Unlock()
	s.subscribers = append(s.subscribers, fn)
	fn(s.cfg.Load())
}

func (s *State) notify(cfg *core.Config) {
	for _, fn := range s.subscribers {
		fn(cfg)
	}
}
