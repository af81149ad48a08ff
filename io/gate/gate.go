package gate

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"snipeshed/core"
	"snipeshed/core/allow"
	"snipeshed/core/expect"
	"snipeshed/core/fleet"
	"snipeshed/core/place"
	"snipeshed/core/route"
	"snipeshed/core/tally"
	"snipeshed/io/dial"
	"snipeshed/io/event"
	"snipeshed/io/news"
)

// Parts are what a Gate works with.
type Parts struct {
	Codec core.Codec
	Mover core.Mover
	News  *news.News
	Fleet *fleet.Fleet
	Tally *tally.Tally
	Place *place.Place
	Allow *allow.Allow
	Dial  *dial.Dial
	// Expect forecasts the lengths of generations.
	Expect *expect.Expect
	Log    *event.Log
	Meter  *Meter
	// Tell tells other instances that this one has more or less in flight at an endpoint of a failure domain; all says that
	// it matters to all of them.
	Tell func(d core.FailureDomain, all bool)
	// Wake tells all other instances what this one knows, now.
	Wake func()
	// Instances returns the number of live instances.
	Instances func() int
}

// Gate serves callers.
type Gate struct {
	Parts
	streams   *registry
	refusing  *refusing
	bodyBytes atomic.Int64 // bodies held
	maxBody   int64        // bound of bodyBytes
	maxOpen   int64        // bound of open calls
	stopsAt   atomic.Pointer[time.Time]
}

// New returns a Gate that holds at most maxBody bytes of bodies and maxOpen calls.
func New(p Parts, maxBody, maxOpen int64) *Gate {
	return &Gate{Parts: p, streams: newRegistry(), refusing: newRefusing(), maxBody: maxBody, maxOpen: maxOpen}
}

// Leaving tells the streams of an endpoint that it leaves.
func (g *Gate) Leaving(id core.EndpointID) {
	g.Dial.Forget(id)
	n := g.streams.tell(id)
	g.Log.Emit(event.EndpointLeft, event.Fields{"endpoint": id, "streams": n})
}

// Unreachable notes that an endpoint takes no connections; refused is set when it said so itself, which holds for all
// instances.
func (g *Gate) Unreachable(id core.EndpointID, refused bool) {
	now := time.Now()
	if refused {
		g.refusing.add(now, id)
	}
	if g.Fleet.Unreachable(now, id) {
		g.streams.tell(id)
		g.Log.Emit(event.Unreachable, event.Fields{"endpoint": id, "refused": refused})
		if refused {
			g.Wake()
		}
	}
}

// Refused takes another instance's word that an endpoint refuses connections.
func (g *Gate) Refused(now time.Time, id core.EndpointID) {
	if g.Fleet.Unreachable(now, id) {
		g.streams.tell(id)
	}
}

// Refusing returns the endpoints that have refused connections of this instance in the last seconds.
func (g *Gate) Refusing(now time.Time) []core.EndpointID { return g.refusing.list(now) }

// Stop makes the gate refuse calls that are not likely to end before the given time, at which open ones are cut.
func (g *Gate) Stop(end time.Time) { g.stopsAt.Store(&end) }

// call is one request of a caller.
type call struct {
	core.Inbound
	g       *Gate
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	start   time.Time
	end     time.Time // no answer is of use to the caller after it
	route   *route.Table
	rule    *core.Route
	team    *core.Team
	service core.Service
	body    []byte
	tried   map[core.EndpointID]bool
	sends   int
	sentTo  core.EndpointID
	outcome string
	// mayHaveRun is set once an endpoint that does not deny it may have run the call.
	mayHaveRun bool
}

// ServeHTTP answers one request.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{
		Inbound: g.Codec.Inbound(r), g: g, w: w, r: r, start: time.Now(), tried: map[core.EndpointID]bool{},
	}
	g.Meter.Open.Add(1)
	defer c.ended()
	if !c.admit() {
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), c.end, errDeadline)
	defer cancel()
	c.ctx = ctx
	if !c.readBody() {
		return
	}
	defer g.bodyBytes.Add(-int64(len(c.body)))
	g.Allow.Call(c.start, c.service.Name)
	if c.rule.Kind == core.KindStream {
		c.stream()
	} else {
		c.plain()
	}
}

// ended counts the call; it also runs when the connection is aborted.
func (c *call) ended() {
	c.g.Meter.Open.Add(-1)
	if c.rule != nil {
		c.g.Meter.Ended(c.service.Name, c.rule.Kind, c.teamName(), c.outcome, time.Since(c.start))
	}
}

var errDeadline = errors.New("the call's deadline has passed")

// defaultTimeout applies where neither the caller nor the route names one.
const defaultTimeout = time.Minute

// admit finds the route and the team and reports whether the call may go on.
func (c *call) admit() bool {
	table := c.g.News.Table()
	if table == nil || !c.g.News.Known() {
		c.refuse(reasonNotReady, c.startRetry())
		return false
	}
	c.route = table
	if c.g.Meter.Open.Load() > c.g.maxOpen {
		c.refuse(reasonOpen, busyRetry)
		return false
	}
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	c.rule = table.Find(c.r.Host, path)
	if c.rule == nil {
		c.deny(http.StatusNotFound, "no route has this host and path")
		return false
	}
	if table.NeedsKey(c.rule) {
		if c.team = table.Team(c.Key); c.team == nil || c.Keys != 1 {
			c.deny(http.StatusUnauthorized, "no team holds the key")
			return false
		}
	}
	c.service = table.Services[route.Pick(c.rule, rand.Float64())]
	c.setDeadlines()
	if c.stopsTooSoon() {
		c.refuse(reasonStopping, stopRetry)
		return false
	}
	return true
}

// stopsTooSoon reports whether the instance stops before the call is likely to end; another instance can serve it.
func (c *call) stopsTooSoon() bool {
	end := c.g.stopsAt.Load()
	if end == nil {
		return false
	}
	left := time.Until(*end)
	switch {
	case c.rule.Kind != core.KindStream:
		return left < min(time.Until(c.end), plainStop)
	case c.rule.Resumable:
		return left < shortStop
	default:
		return true // its length is not known and it cannot go on at another instance
	}
}

const (
	// plainStop and shortStop are longer than nearly all such calls take.
	plainStop = time.Second
	shortStop = 3 * time.Second
)

func (c *call) setDeadlines() {
	timeout := c.rule.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
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

// midShare is the part of its output for which a generation's memory is counted: others that share its engine are at
// other points of theirs.
const midShare = 0.6

// memory is the memory that the call is expected to take; 0 for plain services.
func (c *call) memory() core.Tokens {
	if c.service.Engine == nil {
		return 0
	}
	return c.PromptTokens + core.Tokens(midShare*float64(c.g.Expect.Output(c.rule.Name, c.LengthHint, c.MaxTokens)))
}

// movable reports whether the engines can carry the call's generation to another one.
func (c *call) movable() bool {
	return c.rule.Kind == core.KindStream && !c.rule.Resumable && c.service.Engine != nil
}

// demand is what the call needs at an endpoint.
func (c *call) demand() place.Demand {
	return place.Demand{Tokens: c.memory(), Unread: c.PromptTokens, Long: c.movable()}
}

// readBody reads the whole body, so that the call can be sent again where that is allowed.
func (c *call) readBody() bool {
	limit := c.route.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if c.r.ContentLength > limit {
		c.deny(http.StatusRequestEntityTooLarge, "the body is larger than the configuration allows")
		return false
	}
	if c.g.bodyBytes.Load() > c.g.maxBody {
		c.refuse(reasonMemory, busyRetry)
		return false
	}
	rc := http.NewResponseController(c.w)
	_ = rc.SetReadDeadline(c.end) // a connection without deadlines is bounded by the context
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	_ = rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		c.deny(http.StatusRequestEntityTooLarge, "the body is larger than the configuration allows")
		return false
	case err != nil:
		c.g.Log.Request(event.CallerLeft, c.ID, event.Fields{"while": "reading the body", "error": err})
		panic(http.ErrAbortHandler)
	}
	c.body = body
	c.g.bodyBytes.Add(int64(len(body)))
	return true
}

const defaultBodyBytes = 4 << 20

// request returns what an endpoint gets.
func (c *call) request(out core.Outbound) *dial.Request {
	out.Left = time.Until(c.end)
	out.Team = c.teamName()
	idle := idempotentIdle
	if !c.rule.Repeatable() {
		idle = protectedIdle
	}
	return &dial.Request{
		ID: c.ID, Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host,
		Header: c.g.Codec.Outbound(c.r, out), Body: c.body, MaxIdle: idle,
	}
}

const (
	// protectedIdle bounds the idle time of a connection that carries a call which cannot be repeated: the longer a
	// connection was idle, the likelier the endpoint closes it as the request arrives, which leaves the outcome unknown.
	protectedIdle  = 800 * time.Millisecond
	idempotentIdle = 10 * time.Second
)
