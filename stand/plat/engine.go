package plat

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Engine is an engine or a plain service by the platform's protocol.
type Engine struct {
	*httptest.Server
	ID string
	// Events and Interval give the streams.
	Events   int
	Interval time.Duration
	// Answer replaces the answer of plain calls.
	Answer http.HandlerFunc
	via    string // address of a link in front of the engine, or empty

	mu     sync.Mutex
	runs   map[string]int    // starts of each attempt
	active map[string]func() // stops a running generation
	made   map[string]int    // events of each generation so far
	copies map[string]int    // handles of copies held here, and their events
	heads  map[string]http.Header
	bodies map[string]string
	noRoom bool
	keepOn bool // generations go on after their connections have ended
	leaves bool
	left   map[string]bool // attempts whose caller closed the connection
}

// fleet finds engines by address, as copies go from one to another.
var fleet sync.Map

// NewEngine starts an engine.
func NewEngine(id string) *Engine {
	e := &Engine{
		ID: id, Events: 20, Interval: 5 * time.Millisecond, runs: map[string]int{}, active: map[string]func(){},
		made: map[string]int{}, copies: map[string]int{}, heads: map[string]http.Header{}, bodies: map[string]string{},
		left: map[string]bool{},
	}
	e.Server = httptest.NewServer(http.HandlerFunc(e.serve))
	fleet.Store(e.Address(), e)
	return e
}

// Address returns the IP number and port at which the engine is reached.
func (e *Engine) Address() string {
	if e.via != "" {
		return e.via
	}
	return e.Listener.Addr().String()
}

// SetVia gives the address of a link through which the engine is reached; it must be called before the engine is used.
func (e *Engine) SetVia(address string) {
	fleet.Delete(e.Address())
	e.via = address
	fleet.Store(address, e)
}

// Close ends the engine as a crash does.
func (e *Engine) Close() {
	fleet.Delete(e.Address())
	e.CloseClientConnections()
	e.Server.Close()
}

// Entry is the engine's object in the store.
func (e *Engine) Entry(service, domain, state string) map[string]any {
	return map[string]any{
		"service": service, "address": e.Address(), "zone": domain, "version": "v1", "slots": 8, "state": state,
		"cold_left_ms": 0, "seq": 1, "born": 1,
	}
}

// SetNoRoom makes the engine refuse copies and holds.
func (e *Engine) SetNoRoom(full bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.noRoom = full
}

// SetLeaves makes the engine report that it leaves.
func (e *Engine) SetLeaves() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaves = true
}

// LoseAnswers cuts all connections and goes on with the generations that they carry.
func (e *Engine) LoseAnswers() {
	e.mu.Lock()
	e.keepOn = true
	e.mu.Unlock()
	e.CloseClientConnections()
}

// Working reports whether a generation runs here.
func (e *Engine) Working(attempt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.active[attempt] != nil
}

// Runs returns how often an attempt was started anew here.
func (e *Engine) Runs(attempt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[attempt]
}

// Total returns the number of attempts that were started anew here.
func (e *Engine) Total() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.runs)
}

// Left reports whether the caller of an attempt closed its connection before the end.
func (e *Engine) Left(attempt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.left[attempt]
}

// Request returns the headers and the body of an attempt.
func (e *Engine) Request(attempt string) (http.Header, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.heads[attempt], e.bodies[attempt]
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Snipeshed-Attempt-Id")
	w.Header().Set("Snipeshed-Attempt-Id", attempt)
	if expect := r.Header.Get("Snipeshed-Expect-Instance"); expect != "" && expect != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/report":
		e.report(w)
	case r.URL.Path == "/hold-take":
		e.hold(w)
	case r.URL.Path == "/kv-move":
		e.move(w, r)
	case strings.HasPrefix(r.URL.Path, "/kv-handle/"):
	case strings.HasSuffix(r.URL.Path, "/stream"):
		e.stream(w, r, attempt)
	default:
		e.plain(w, r, attempt)
	}
}

func (e *Engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := "ready"
	if e.leaves {
		state = "draining"
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"state": state, "born": 1, "kv_used": 0, "kv_total": 1000})
}

func (e *Engine) hold(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.noRoom {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"hold": "h1"})
}

func (e *Engine) seal(w http.ResponseWriter) { w.Header().Set("Snipeshed-Server-Seal", "seal-"+e.ID) }

func (e *Engine) began(r *http.Request, attempt string) {
	body, _ := io.ReadAll(r.Body) // a cut body is stored as far as it came
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[attempt]++
	e.heads[attempt], e.bodies[attempt] = r.Header.Clone(), string(body)
}

func (e *Engine) plain(w http.ResponseWriter, r *http.Request, attempt string) {
	e.began(r, attempt)
	e.seal(w)
	if e.Answer != nil {
		e.Answer(w, r)
		return
	}
	fmt.Fprintf(w, "answer of %s to %s", e.ID, r.URL.RequestURI())
}

// stream starts a generation, or goes on with one whose memory is here.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, attempt string) {
	first := 1
	if from := r.Header.Get("Kv-From"); from != "" {
		if !e.use(from, attempt) {
			w.Header().Set("Snipeshed-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	} else {
		e.began(r, attempt)
	}
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	stop := make(chan struct{})
	var once sync.Once
	e.mu.Lock()
	e.active[attempt] = func() { once.Do(func() { close(stop) }) }
	e.made[attempt] = first - 1
	e.mu.Unlock()
	e.seal(w)
	w.Header().Set("Content-Type", "text/event-stream")
	e.generate(w, r, attempt, first, stop)
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request, attempt string, first int, stop <-chan struct{}) {
	backup := r.Header.Get("Snipeshed-Kv-Backup")
	rc := http.NewResponseController(w)
	defer func() {
		e.mu.Lock()
		delete(e.active, attempt)
		e.mu.Unlock()
	}()
	for i := first; i <= e.Events; i++ {
		select {
		case <-stop:
			panic(http.ErrAbortHandler)
		case <-e.ended(r, attempt):
			return
		case <-time.After(e.Interval):
		}
		fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", i, i)
		_ = rc.Flush() // a caller that left shows in the context
		e.mu.Lock()
		e.made[attempt] = i
		e.mu.Unlock()
		if target, ok := fleet.Load(backup); ok {
			target.(*Engine).keep(attempt, i)
		}
	}
}

// ended is closed when the caller of a generation has left and the engine does not go on without it.
func (e *Engine) ended(r *http.Request, attempt string) <-chan struct{} {
	if r.Context().Err() == nil {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.left[attempt] = true
	if e.keepOn {
		return nil
	}
	return r.Context().Done()
}

// keep stores a copy of a generation's memory.
func (e *Engine) keep(handle string, events int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.copies[handle] = events
}

// use takes the copy that a Kv-From header names; a handle serves once.
func (e *Engine) use(from, attempt string) bool {
	_, handle, _ := strings.Cut(from, "/")
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.copies[handle]; !ok {
		return false
	}
	delete(e.copies, handle)
	e.heads[attempt] = nil
	return true
}

func (e *Engine) move(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	stop, made := e.active[in.ID], e.made[in.ID]
	e.mu.Unlock()
	target, ok := fleet.Load(in.To)
	switch {
	case stop == nil:
		w.WriteHeader(http.StatusNotFound)
		return
	case !ok || target.(*Engine).full():
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case in.Last:
		stop()
	}
	handle := "m" + in.ID
	target.(*Engine).keep(handle, made)
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": handle, "created": made})
}

func (e *Engine) full() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.noRoom
}

// ownHost is a loopback address of this process, so that a port that is unused here is not taken by another one, be it
// for an outgoing connection, before it is used.
func ownHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 16+pid>>16&0x7f, pid>>8&0xff, 1+pid&0x7f)
}

// Unused returns an address on loopback at which nothing listens, neither for connections nor for datagrams.
func Unused() string {
	for {
		ln, err := net.Listen("tcp", ownHost()+":0")
		if err != nil {
			panic(err) // loopback is always there
		}
		address := ln.Addr().String()
		packets, err := net.ListenPacket("udp", address)
		ln.Close()
		if err == nil {
			packets.Close()
			return address
		}
	}
}
