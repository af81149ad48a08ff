package plat

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"time"
)

// Engine simulates an inference engine or an application service that speaks the platform's protocol.
type Engine struct {
	*httptest.Server
	ID string
	// Events is the number of events of a stream, and Interval the time before each.
	Events   int
	Interval time.Duration
	// Unframed makes streams end with their connection, without a length or chunks.
	Unframed bool
	// CallHandler, if set, handles calls that are not streams.
	CallHandler http.HandlerFunc
	// StreamHandler, if set, handles streams, after the digest header is set.
	StreamHandler http.HandlerFunc
	// CrashPart, if set, is a prompt part; the engine crashes as it begins to answer a stream with it.
	CrashPart string
	// ReportHandler, if set, handles status requests.
	ReportHandler http.HandlerFunc
	// MoveHandler, if set, handles requests to copy or stop a generation.
	MoveHandler http.HandlerFunc
	// MoveFilter, if set, may answer a request to copy or stop a generation itself; it then returns false.
	MoveFilter func(w http.ResponseWriter, last bool) bool
	// BeforeMove, if set, is called before a request to copy or stop a generation is served.
	BeforeMove  func()
	linkAddress string // address of a TCP forwarder in front of the engine, or empty

	mu             sync.Mutex
	starts         map[string]int    // number of starts, by attempt
	stopFuncs      map[string]func() // stops a running generation, by attempt
	eventCounts    map[string]int    // number of events sent so far, by attempt
	copies         map[string]int    // number of events in each stored copy, by handle
	headers        map[string]http.Header
	bodies         map[string]string
	noRoom         bool // see SetNoRoom
	keepGenerating bool // reports whether generations continue after their connections have closed
	leaving        bool
	disconnected   map[string]bool // attempts whose caller closed the connection early
	answerHeader   http.Header     // see SetAnswerHeader
	requestTimes   []time.Time     // see RequestTimes
	crashed        bool
	paused         bool          // see SetPaused
	headDelay      time.Duration // see HoldHeads
	runs           map[string][]Run
}

// enginesByAddress holds all engines of the process, so that one can copy a generation's memory to another.
var enginesByAddress sync.Map

// NewEngine starts an engine.
func NewEngine(id string) *Engine {
	e := &Engine{
		ID: id, Events: 20, Interval: 5 * time.Millisecond, starts: map[string]int{}, stopFuncs: map[string]func(){},
		eventCounts: map[string]int{}, copies: map[string]int{}, headers: map[string]http.Header{}, bodies: map[string]string{},
		disconnected: map[string]bool{}, answerHeader: http.Header{}, runs: map[string][]Run{},
	}
	e.Server = httptest.NewServer(http.HandlerFunc(e.serve))
	enginesByAddress.Store(e.Address(), e)
	return e
}

// Address returns the IP address and port at which the engine is reached.
func (e *Engine) Address() string {
	if e.linkAddress != "" {
		return e.linkAddress
	}
	return e.Listener.Addr().String()
}

// SetLinkAddress sets the address of a TCP forwarder through which the engine is reached; it must be called before the
// engine is used.
func (e *Engine) SetLinkAddress(address string) {
	enginesByAddress.Delete(e.Address())
	e.linkAddress = address
	enginesByAddress.Store(address, e)
}

// Close stops the engine as a crash does: it resets all connections.
func (e *Engine) Close() {
	enginesByAddress.Delete(e.Address())
	e.CloseClientConnections()
	e.Server.Close()
}

// crash closes the listener and all connections, as when the engine's process ends.
func (e *Engine) crash() {
	e.mu.Lock()
	e.crashed = true
	e.mu.Unlock()
	enginesByAddress.Delete(e.Address())
	_ = e.Listener.Close() // an error means that it is closed already
	time.Sleep(crashDelay)
	e.CloseClientConnections()
}

// crashDelay is the time between the head of an answer and the crash of the engine.
const crashDelay = 30 * time.Millisecond

// Crashed reports whether the engine has crashed on CrashPart.
func (e *Engine) Crashed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed
}

// ObjectSpec returns the spec of the engine's object in the store.
func (e *Engine) ObjectSpec(service, domain, state string) map[string]any {
	return map[string]any{
		"service": service, "address": e.Address(), "zone": domain, "version": "v1", "slots": 8, "state": state,
		"cold_left_ms": 0, "seq": 1, "born": 1,
	}
}

// SetNoRoom sets whether the engine refuses copies and memory reservations.
func (e *Engine) SetNoRoom(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.noRoom = on
}

// SetLeaving makes the engine report the state draining.
func (e *Engine) SetLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// SetAnswerHeader sets a header of all later answers, also of refusals and of answers to reservations and status requests.
func (e *Engine) SetAnswerHeader(name, value string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answerHeader.Set(name, value)
}

// RequestTimes returns when each call, resumption and reservation arrived.
func (e *Engine) RequestTimes() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.requestTimes)
}

// LoseAnswers closes all connections while their generations continue.
func (e *Engine) LoseAnswers() {
	e.KeepGenerating()
	e.CloseClientConnections()
}

// KeepGenerating makes generations continue after their connections have closed, until they are stopped.
func (e *Engine) KeepGenerating() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.keepGenerating = true
}

// SetPaused sets whether the engine generates nothing for now; it still answers other requests.
func (e *Engine) SetPaused(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.paused = on
}

// Generating reports whether the generation of an attempt runs on this engine.
func (e *Engine) Generating(attempt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stopFuncs[attempt] != nil
}

// HoldHeads makes the heads of later streams arrive some time after their generations have begun.
func (e *Engine) HoldHeads(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.headDelay = d
}

// Run is the time for which a generation ran at one engine.
type Run struct {
	Begun time.Time
	Ended time.Time // zero while it goes on
}

// Overlap returns the time for which two runs went on at once, where a run that goes on counts until now.
func Overlap(a, b Run) time.Duration {
	begun, ended := a.Begun, a.endOrNow()
	if b.Begun.After(begun) {
		begun = b.Begun
	}
	if end := b.endOrNow(); end.Before(ended) {
		ended = end
	}
	return ended.Sub(begun)
}

func (r Run) endOrNow() time.Time {
	if r.Ended.IsZero() {
		return time.Now()
	}
	return r.Ended
}

// Runs returns the runs of an attempt on this engine, those continued from a copy too.
func (e *Engine) Runs(attempt string) []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.runs[attempt])
}

// StartCount returns how often an attempt was started on this engine; a continuation from a copy does not count.
func (e *Engine) StartCount(attempt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.starts[attempt]
}

// AttemptCount returns the number of attempts that were started on this engine; attempts that were only continued from a
// copy do not count.
func (e *Engine) AttemptCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.starts)
}

// CallerDisconnected reports whether the caller of a stream closed its connection before the end.
func (e *Engine) CallerDisconnected(attempt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.disconnected[attempt]
}

// ReceivedRequest returns the headers and the body of an attempt's request.
func (e *Engine) ReceivedRequest(attempt string) (http.Header, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.headers[attempt], e.bodies[attempt]
}
