package gate

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"snipeshed/core"
	"snipeshed/core/allow"
	"snipeshed/core/blame"
	"snipeshed/core/cold"
	"snipeshed/core/expect"
	"snipeshed/core/fleet"
	"snipeshed/core/place"
	"snipeshed/core/route"
	"snipeshed/core/spent"
	"snipeshed/core/tally"
	"snipeshed/io/dial"
	"snipeshed/io/event"
	"snipeshed/io/news"
)

// Deps are the dependencies of a Gate.
type Deps struct {
	Codec     core.Codec
	Mover     core.Mover
	News      *news.News
	Endpoints *fleet.Endpoints
	Loads     *tally.LoadTable
	Selector  *place.Selector
	Retries   *allow.RetryLimiter
	Client    *dial.Client
	// Lengths forecasts the lengths of generations.
	Lengths *expect.Predictor
	// Spent estimates how much of their time callers had spent before.
	Spent *spent.Estimator
	// Cold limits the requests to cold endpoints.
	Cold *cold.Limiter
	// Blame attributes crashes of engines to parts of prompts.
	Blame *blame.Tracker
	Log   *event.Log
	Meter *Meter
	// NotifyPeers sends a change of this instance's load at an endpoint of the given failure domain to other instances: to
	// those near that domain, or to every instance if allDomains is set.
	NotifyPeers func(domain core.FailureDomain, allDomains bool)
	// SyncPeers sends the state that this instance shares to all other instances at once.
	SyncPeers func()
	// Instances returns the number of live instances.
	Instances func() int
	// FleetSize returns the number of instances among which the retry budget is divided: also those that are not heard from, which
	// may still serve callers.
	FleetSize func() int
	// MayLoad reports whether an instance without a configuration or endpoints may have them soon.
	MayLoad func() bool
}

// Gate is the HTTP handler that serves callers.
type Gate struct {
	Deps
	streams       *streamRegistry
	connRefusals  *connRefusals
	endChecks     *endChecks
	bodies        *bodyBudget
	bufferedBytes atomic.Int64 // total size of the buffered answers
	maxBodyBytes  int64        // answers are buffered less while bufferedBytes exceeds it
	maxOpenCalls  int64        // limit of calls in progress
	stop          stopState
}

// New returns a Gate that refuses calls while it holds more than maxBody bytes of request bodies or maxOpen calls.
func New(p Deps, maxBody, maxOpen int64) *Gate {
	return &Gate{
		Deps: p, streams: newStreamRegistry(), connRefusals: newConnRefusals(), endChecks: newEndChecks(), bodies: newBodyBudget(maxBody), maxBodyBytes: maxBody,
		maxOpenCalls: maxOpen, stop: newStopState(),
	}
}

// OnEndpointLeaving closes the idle connections of an endpoint that is leaving and notifies its streams.
func (g *Gate) OnEndpointLeaving(id core.EndpointID) {
	g.Client.CloseIdle(id)
	n := g.streams.notify(id)
	if e := g.Endpoints.Get(id); e != nil && e.IsGone() {
		g.checkRemoved(e.Endpoint)
	}
	g.Log.Emit(event.EndpointLeaving, event.Fields{"endpoint": id, "streams": n})
}

// MarkUnreachable records that no connection to an endpoint can be opened. With refused set, the endpoint's host refused the
// connection: the endpoint is then unreachable from every instance, and the others are notified.
func (g *Gate) MarkUnreachable(id core.EndpointID, refused bool) {
	now := time.Now()
	if refused {
		g.connRefusals.add(now, id)
		g.recordRefusal(id)
	}
	if g.Endpoints.MarkUnreachable(now, id) {
		g.streams.notify(id)
		g.Log.Emit(event.Unreachable, event.Fields{"endpoint": id, "refused": refused})
		if refused {
			g.SyncPeers()
		}
	}
}

// OnRefusalReported marks an endpoint as unreachable after another instance reported that it refuses connections.
func (g *Gate) OnRefusalReported(now time.Time, id core.EndpointID) {
	g.recordRefusal(id)
	if g.Endpoints.MarkUnreachable(now, id) {
		g.streams.notify(id)
	}
}

// RecentlyRefusing returns the endpoints that recently refused a connection from this instance.
func (g *Gate) RecentlyRefusing(now time.Time) []core.EndpointID { return g.connRefusals.list(now) }

// call is the state of one request of a caller.
type call struct {
	core.InboundHeaders
	g       *Gate
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	start   time.Time
	end     time.Time // deadline of the call
	table   *route.Table
	route   *core.Route
	team    *core.Team
	service core.Service
	body    []byte
	// bodyBytes is the memory that the body has taken.
	bodyBytes int64
	// bufferedBytes is the size of the answers that were buffered for the call.
	bufferedBytes int64
	tried         map[core.EndpointID]bool
	// failedAttempts counts the attempts that failed after an endpoint may have received the call; misdirected ones do not count.
	failedAttempts int
	sends          int // requests sent to endpoints, for the log
	sentTo         core.EndpointID
	outcome        string
	// mayHaveRun is set once the call was sent to an endpoint that did not confirm that it did not run the call.
	mayHaveRun bool
	learned    learned
	// isTrial is set for a request that is sent although a part of its prompt is quarantined.
	isTrial bool
}

// ServeHTTP serves one request of a caller.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{
		InboundHeaders: g.Codec.DecodeRequest(r), g: g, w: w, r: r, start: time.Now(), tried: map[core.EndpointID]bool{},
	}
	g.Meter.OpenCalls.Add(1)
	defer c.recordEnd()
	defer c.abortOnPanic()
	if !c.admit() {
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), c.end, errDeadline)
	defer cancel()
	c.ctx = ctx
	if c.route.Kind != core.RouteStream {
		defer c.endAtStop()()
	}
	defer func() { g.bodies.give(c.bodyBytes) }()
	if !c.readBody() {
		return
	}
	if c.refuseQuarantined() {
		return
	}
	g.Retries.CountCall(c.start, c.service.Name)
	if c.route.Kind == core.RouteStream {
		c.serveStream()
	} else {
		c.servePlain()
	}
}

// recordEnd updates the metrics of a call that has ended, including one whose connection was aborted.
func (c *call) recordEnd() {
	c.g.Meter.OpenCalls.Add(-1)
	if c.route != nil {
		c.g.Meter.RecordCall(c.service.Name, c.route.Kind, c.teamName(), c.outcome, time.Since(c.start))
	}
}

var errDeadline = errors.New("the call's deadline has passed")

// admit looks up the call's route and team and reports whether the call may proceed. If not, it has sent the response.
func (c *call) admit() bool {
	if c.g.Meter.OpenCalls.Load() > c.g.maxOpenCalls {
		c.refuse(reasonOpenCalls, busyRetryAfter)
		return false
	}
	if !c.awaitLoaded() {
		c.refuse(reasonNotReady, c.startRetryAfter())
		return false
	}
	table := c.g.News.Table()
	c.table = table
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	c.route = table.Find(c.r.Host, path)
	if c.route == nil {
		c.deny(http.StatusNotFound, "no route has this host and path")
		return false
	}
	if table.NeedsKey(c.route) {
		if c.team = table.Team(c.Key); c.team == nil || c.KeyCount != 1 {
			c.deny(http.StatusUnauthorized, "no team holds the key")
			return false
		}
	}
	c.service = table.Services[route.PickService(c.route, rand.Float64())]
	c.setDeadlines()
	if c.stopsTooSoon() {
		c.refuse(reasonStopping, stoppingRetryAfter)
		return false
	}
	return true
}

func (c *call) setDeadlines() {
	timeout := c.route.CallTimeout()
	c.end = c.start.Add(timeout)
	if c.Deadline > 0 && c.Deadline < timeout {
		c.end = c.start.Add(c.Deadline)
	}
}

func (c *call) teamName() core.TeamName {
	if c.team == nil {
		return ""
	}
	return c.team.Name
}

// outputMemoryShare is the share of a generation's expected output that its memory forecast includes. It is below 1 because
// the generations of an engine do not all reach their full length at the same time.
const outputMemoryShare = 0.6

// forecastMemory returns the memory that the call is expected to use; 0 for services without model engines.
func (c *call) forecastMemory() core.Tokens {
	if c.service.Engine == nil {
		return 0
	}
	return c.PromptTokens + core.Tokens(outputMemoryShare*float64(c.g.Lengths.PredictLength(c.route.Name, c.LengthHint, c.MaxTokens)))
}

// movable reports whether the call's running generation can be migrated to another engine.
func (c *call) movable() bool {
	return c.route.Kind == core.RouteStream && !c.route.Resumable && c.service.Engine != nil
}

// demand returns the capacity that the call needs at an endpoint.
func (c *call) demand() place.Demand {
	return place.Demand{Tokens: c.forecastMemory(), PrefillTokens: c.PromptTokens, Long: c.movable(), Objective: c.route.Objective}
}

// outboundRequest builds the request that is sent to an endpoint.
func (c *call) outboundRequest(out core.OutboundHeaders) *dial.Request {
	out.TimeLeft = time.Until(c.end)
	out.Team = c.teamName()
	idle := repeatableMaxIdle
	if !c.route.Repeatable() {
		idle = protectedMaxIdle
	}
	return &dial.Request{
		ID: c.ID, Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host,
		Header: c.g.Codec.EncodeRequest(c.r, out), Body: c.body, MaxIdle: idle,
	}
}

const (
	// protectedMaxIdle bounds the idle time of a connection that carries a call which cannot be repeated: the longer a
	// connection was idle, the likelier the endpoint closes it as the request arrives, which leaves the outcome unknown.
	protectedMaxIdle  = 800 * time.Millisecond
	repeatableMaxIdle = 10 * time.Second
)
