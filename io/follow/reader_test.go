package follow_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/io/follow"
)

const (
	generation = core.GenerationID("g1")
	request    = core.RequestID("r1")
)

// step is one read from a scripted connection.
type step struct {
	ev    core.Event
	err   error
	wait  time.Duration
	stall bool // the read blocks until the connection is closed
}

func token(i core.Tokens) step { return step{ev: core.Event{Index: i, Text: "t"}} }
func done(n core.Tokens) step {
	return step{ev: core.Event{Done: true, Tokens: n, FinishReason: "stop"}}
}

func head(g core.GenerationID, r core.RequestID) step {
	return step{ev: core.Event{GenerationID: g, RequestID: r}}
}

// accepted is the event for the headers of an answer whose engine has not started the generation.
func accepted(g core.GenerationID) step {
	return step{ev: core.Event{GenerationID: g, Accepted: true}}
}

type connection struct {
	steps    []step
	closed   chan struct{}
	isClosed bool
}

func (c *connection) Next() (core.Event, error) {
	if len(c.steps) == 0 {
		return core.Event{}, io.ErrUnexpectedEOF
	}
	s := c.steps[0]
	c.steps = c.steps[1:]
	if s.stall {
		<-c.closed
		return core.Event{}, io.ErrClosedPipe
	}
	time.Sleep(s.wait)
	return s.ev, s.err
}

func (c *connection) Close() error {
	if !c.isClosed {
		c.isClosed = true
		close(c.closed)
	}
	return nil
}

type engine struct {
	core.Runner
	resumes     [][]step
	resumedFrom []core.Tokens
	resumeErr   error
	status      core.GenerationStatus
	statusErr   error
	statusPanic bool
	statusCalls int
	canceled    int
}

func (e *engine) Cancel(context.Context, core.GenerationID) error {
	e.canceled++
	return nil
}

func (e *engine) Resume(_ context.Context, _ core.GenerationID, from core.Tokens) (core.Stream, error) {
	e.resumedFrom = append(e.resumedFrom, from)
	if e.resumeErr != nil {
		return nil, e.resumeErr
	}
	if len(e.resumes) == 0 {
		return nil, core.ErrUnknownGeneration
	}
	steps := e.resumes[0]
	e.resumes = e.resumes[1:]
	return &connection{steps: steps, closed: make(chan struct{})}, nil
}

func (e *engine) Status(context.Context, core.GenerationID) (core.GenerationStatus, error) {
	e.statusCalls++
	if e.statusPanic {
		panic("status")
	}
	return e.status, e.statusErr
}

// counts is a follow.Counters for the reader and its probes, which run in goroutines of their own.
type counts struct {
	mu     sync.Mutex
	byName map[string]int
}

// Count increments the named counter.
func (c *counts) Count(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byName[name]++
}

func (c *counts) value(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byName[name]
}

// TestReader guards against tokens that are lost, duplicated or taken from another generation after a broken or silent
// connection, against a slow engine that is taken for a dead connection, and against a call that does not end although its
// engine never starts the generation, no longer has it or stays unreachable.
func TestReader(t *testing.T) {
	tests := []struct {
		name        string
		first       []step
		engine      engine
		tokens      int
		resumedFrom []core.Tokens
		count       string
		kind        core.ErrorKind
		maxTime     time.Duration
		// canceled is the expected number of generations canceled at the engine.
		canceled int
	}{
		{
			name:  "one connection to the end",
			first: []step{head(generation, request), token(0), token(1), done(2)}, tokens: 2,
		},
		{
			name:   "a broken connection resumes from the next token",
			first:  []step{head(generation, request), token(0), token(1)},
			engine: engine{resumes: [][]step{{head(generation, request), token(2), done(3)}}},
			tokens: 3, resumedFrom: []core.Tokens{2}, count: "stream_resumes",
		},
		{
			name:   "repeated tokens after a resume are dropped",
			first:  []step{head(generation, request), token(0), token(1)},
			engine: engine{resumes: [][]step{{token(0), token(1), token(2), done(3)}}},
			tokens: 3, resumedFrom: []core.Tokens{2}, count: "duplicate_tokens",
		},
		{
			name:   "a skipped token is fetched again",
			first:  []step{head(generation, request), token(0), token(2)},
			engine: engine{resumes: [][]step{{token(1), token(2), done(3)}}},
			tokens: 3, resumedFrom: []core.Tokens{1},
		},
		{
			name:   "an end event that counts more tokens than were received causes a resume",
			first:  []step{head(generation, request), token(0), done(2)},
			engine: engine{resumes: [][]step{{token(1), done(2)}}},
			tokens: 2, resumedFrom: []core.Tokens{1},
		},
		{
			name:   "a stream of another generation is rejected after a resume",
			first:  []step{head(generation, request), token(0)},
			engine: engine{resumes: [][]step{{head("g2", request), token(1)}, {token(1), done(2)}}},
			tokens: 2, resumedFrom: []core.Tokens{1, 1}, count: "crossed_answers",
		},
		{
			name:  "a stream of another request is rejected",
			first: []step{head(generation, "r2"), token(0)}, tokens: 0,
			count: "crossed_answers", kind: core.KindStreamBroken,
		},
		{
			name:   "a silent connection is replaced within two seconds when the engine is ahead",
			first:  []step{head(generation, request), token(0), {stall: true}},
			engine: engine{status: core.GenerationStatus{Tokens: 5}, resumes: [][]step{{token(1), done(2)}}},
			tokens: 2, resumedFrom: []core.Tokens{1}, count: "silent_connections", maxTime: 2 * time.Second,
		},
		{
			name:   "a connection to a slow engine is kept",
			first:  []step{head(generation, request), token(0), {ev: core.Event{Index: 1}, wait: time.Minute}, done(2)},
			engine: engine{status: core.GenerationStatus{Tokens: 1}}, tokens: 2,
		},
		{
			name:   "a generation that starts after a long silence, but within the limit, is kept",
			first:  []step{accepted(generation), {ev: head(generation, request).ev, wait: 14 * time.Second}, token(0), done(1)},
			tokens: 1,
		},
		{
			name:  "a generation that its engine does not start is canceled",
			first: []step{accepted(generation), {stall: true}},
			count: "generations_not_started", kind: core.KindStreamBroken, maxTime: 17 * time.Second, canceled: 1,
		},
		{
			name:   "a connection that is silent before the first line is replaced when the engine is ahead",
			first:  []step{accepted(generation), {stall: true}},
			engine: engine{status: core.GenerationStatus{Tokens: 1}, resumes: [][]step{{head(generation, request), token(0), done(1)}}},
			tokens: 1, resumedFrom: []core.Tokens{0}, count: "silent_connections", maxTime: 2 * time.Second,
		},
		{
			name:   "a generation that only the headers of another request's stream named is not resumed",
			first:  []step{accepted("g2"), head("g2", "r2"), token(0)},
			engine: engine{resumes: [][]step{{token(0), done(1)}}},
			count:  "crossed_answers", kind: core.KindStreamBroken,
		},
		{
			name:   "a generation that the engine no longer has ends with an error",
			first:  []step{head(generation, request), token(0)},
			engine: engine{resumeErr: core.ErrUnknownGeneration}, tokens: 1, resumedFrom: []core.Tokens{1}, kind: core.KindStreamBroken,
		},
		{
			name:   "a panic in a probe ends the generation, not the process",
			first:  []step{head(generation, request), token(0), {stall: true}},
			engine: engine{statusPanic: true, resumeErr: core.ErrNotSent}, tokens: 1,
			count: "silent_connections", kind: core.KindStreamBroken, maxTime: 10 * time.Second,
		},
		{
			name:   "an engine that stays unreachable ends the generation with an error",
			first:  []step{head(generation, request), token(0), {stall: true}},
			engine: engine{statusErr: core.ErrNotSent, resumeErr: core.ErrNotSent}, tokens: 1,
			kind: core.KindStreamBroken, maxTime: 10 * time.Second,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := &counts{byName: map[string]int{}}
				begin := time.Now()
				r := follow.New(&tt.engine, &connection{steps: tt.first, closed: make(chan struct{})},
					request, "", 0, follow.WithCounters(c))
				defer r.Close()
				n, err := read(r)
				is.Equal(n, tt.tokens)
				if tt.kind == "" {
					is.NoErr(err)
				} else {
					is.Equal(core.ErrorKindOf(err), tt.kind)
				}
				if tt.resumedFrom != nil {
					is.Equal(tt.engine.resumedFrom, tt.resumedFrom)
				}
				if tt.count != "" {
					is.True(c.value(tt.count) > 0)
				}
				is.Equal(tt.engine.canceled, tt.canceled)
				if tt.maxTime > 0 {
					is.True(time.Since(begin) <= tt.maxTime)
				}
			})
		})
	}
}

// TestCachedTokensAfterHeaders guards against a count of cached tokens that is dropped, so that the owner never receives it,
// because the headers have already named the generation.
func TestCachedTokensAfterHeaders(t *testing.T) {
	is := is.New(t)
	first := head(generation, request)
	first.ev.CachedTokens = 16
	r := follow.New(&engine{}, &connection{steps: []step{accepted(generation), first}, closed: make(chan struct{})}, request, "", 0)
	defer r.Close()
	ev, err := r.Next(t.Context())
	is.NoErr(err)
	is.True(ev.Accepted)
	ev, err = r.Next(t.Context())
	is.NoErr(err)
	is.Equal(ev.CachedTokens, core.Tokens(16))
}

// TestFlushWhenNoEventFollows guards against tokens that stay in the buffer of the client's connection while the stream is
// resumed.
func TestFlushWhenNoEventFollows(t *testing.T) {
	more := func(s step) step {
		s.ev.More = true
		return s
	}
	for _, tt := range []struct {
		name    string
		first   []step
		resumed []step
		flushes int
	}{
		{"the next event follows", []step{more(token(0)), token(1), done(2)}, nil, 0},
		{"a duplicate follows", []step{more(token(0)), token(0), token(1), done(2)}, nil, 1},
		{"two duplicates follow", []step{more(token(0)), more(token(0)), token(0), token(1), done(2)}, nil, 1},
		{"the stream breaks", []step{more(token(0))}, []step{token(1), done(2)}, 1},
		{"the stream skips a token", []step{more(token(0)), token(2)}, []step{token(1), done(2)}, 1},
		{"the stream breaks after a flushed token", []step{token(0)}, []step{token(1), done(2)}, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			flushes := 0
			r := follow.New(&engine{resumes: [][]step{tt.resumed}}, &connection{steps: tt.first, closed: make(chan struct{})},
				request, generation, 0, follow.WithFlush(func() { flushes++ }))
			defer r.Close()
			n, err := read(r)
			is.NoErr(err)
			is.Equal(n, 2)
			is.Equal(flushes, tt.flushes)
		})
	}
}

// read reads to the end or an error and returns the number of tokens; it fails if they are out of order.
func read(r *follow.Reader) (int, error) {
	n := 0
	for {
		ev, err := r.Next(context.Background())
		switch {
		case err != nil:
			return n, err
		case ev.Done:
			return n, nil
		case ev.GenerationID != "":
		case int(ev.Index) != n:
			return n, errors.New("token out of order")
		default:
			n++
		}
	}
}
