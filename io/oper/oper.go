package oper

import (
	"net/http"

	"github.com/twitchtv/twirp"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/core/state"
	"snipeshed/wire"
)

// Oper is the server of the operators' API.
type Oper struct {
	core.Shared
	cfg    *conf.Settings
	store  core.Store
	state  *state.State
	ledger *ledger
	fleet  Fleet
	load   func(*wire.StatusResponse)
}

var _ wire.Operator = (*Oper)(nil)

// Option changes an Oper while it is made.
type Option func(*Oper)

// WithAccepted sets a function that is called once with each ticket that this instance accepted, to spread it at once.
// The ticket is already in force here; fn must not block, as the next ticket waits for it.
func WithAccepted(fn func(*wire.Ticket)) Option {
	return func(o *Oper) { o.ledger.accepted = fn }
}

// WithFleet sets the source of the other instances for Status.
func WithFleet(f Fleet) Option {
	return func(o *Oper) { o.fleet = f }
}

// WithLoad sets a function that adds what this instance knows of queues and endpoints to the answer of Status.
func WithLoad(fn func(*wire.StatusResponse)) Option {
	return func(o *Oper) { o.load = fn }
}

// New returns a server that accepts tickets into st and applies them to s.
func New(shared core.Shared, cfg *conf.Settings, st core.Store, s *state.State, opts ...Option) *Oper {
	o := &Oper{
		Shared: shared, cfg: cfg, store: st, state: s,
		ledger: newLedger(shared, st, s),
		fleet:  noFleet{},
		load:   func(*wire.StatusResponse) {},
	}
	o.ledger.supported = o.supported
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// Handler returns the HTTP handler of the API with the check of the operators' key; its paths begin with wire.OperatorPathPrefix.
func (o *Oper) Handler() http.Handler {
	server := wire.NewOperatorServer(o, twirp.WithServerInterceptors(typedErrors))
	return o.authorized(http.MaxBytesHandler(server, o.cfg.GetMaxBodyBytes()))
}
