package oper

import (
	"net/http"

	"github.com/twitchtv/twirp"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/core/state"
	"snipeshed/wire"
)

// Server is the server of the operators' API.
type Server struct {
	core.Common
	cfg           *conf.Settings
	store         core.Store
	state         *state.State
	ticketLog     *ticketLog
	fleet         Fleet
	addPoolStatus func(*wire.StatusResponse)
}

var _ wire.Operator = (*Server)(nil)

// Option configures a Server.
type Option func(*Server)

// WithAccepted sets a callback for each ticket that this instance accepts, so that it can be sent to other instances at
// once. It is called once per ticket, after the ticket is in force here. It must not block: it delays the next ticket.
func WithAccepted(fn func(*wire.Ticket)) Option {
	return func(o *Server) { o.ticketLog.onAccepted = fn }
}

// WithFleet sets the source of the other instances, which Status reports and Apply asks for their formats. The default has none.
func WithFleet(f Fleet) Option {
	return func(o *Server) { o.fleet = f }
}

// WithPoolStatus sets a function that adds the queues and the state of endpoints to the response of Status.
func WithPoolStatus(fn func(*wire.StatusResponse)) Option {
	return func(o *Server) { o.addPoolStatus = fn }
}

// New returns a server that writes accepted tickets to st and applies them to s.
func New(shared core.Common, cfg *conf.Settings, st core.Store, s *state.State, opts ...Option) *Server {
	o := &Server{
		Common: shared, cfg: cfg, store: st, state: s,
		ticketLog:     newTicketLog(shared, st, s),
		fleet:         noFleet{},
		addPoolStatus: func(*wire.StatusResponse) {},
	}
	o.ticketLog.checkFormat = o.checkFormat
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// Handler returns the HTTP handler of the API, which checks the operators' key. Its paths begin with wire.OperatorPathPrefix.
func (o *Server) Handler() http.Handler {
	server := wire.NewOperatorServer(o, twirp.WithServerInterceptors(errorInterceptor))
	return o.requireKey(http.MaxBytesHandler(server, o.cfg.GetMaxBodyBytes()))
}
