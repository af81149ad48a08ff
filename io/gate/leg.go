package gate

import (
	"context"
	"errors"
	"sync"

	"snipeshed/core"
	"snipeshed/core/tally"
	"snipeshed/io/dial"
)

// leg is one endpoint's part of a stream.
type leg struct {
	s        *stream
	endpoint core.Endpoint
	from     string         // where the generation's memory is; empty for the first leg
	backup   *core.Endpoint // keeps a copy of the generation's memory

	ctx    context.Context
	cancel context.CancelCauseFunc
	answer *dial.Answer
	events chan streamEvent
	done   chan struct{}
	once   sync.Once
	unread core.Tokens
}

var errClosed = errors.New("the part of the stream was closed")

// opened is the outcome of sending a leg's request.
type opened struct {
	leg    *leg
	answer *dial.Answer
	err    error
}

// open sends the request of a leg; the outcome arrives on s.opened.
func (s *stream) open(e core.Endpoint, from string, backup *core.Endpoint) {
	l := &leg{s: s, endpoint: e, from: from, backup: backup, events: make(chan streamEvent), done: make(chan struct{})}
	l.ctx, l.cancel = context.WithCancelCause(s.ctx)
	if from == "" {
		l.unread = s.PromptTokens
	}
	s.pending = l
	s.sentTo = e.ID
	l.count(1)
	l.tell()
	s.g.streams.add(e.ID, s)
	if backup != nil {
		s.g.streams.add(backup.ID, s)
	}
	out := core.Outbound{Endpoint: e.ID, Urgency: noUrgency, From: from, LastEvent: s.last, Hold: s.hold}
	s.hold = ""
	if backup != nil {
		out.Backup = backup.Address
	}
	req := s.request(out)
	go func() {
		a, err := s.g.Dial.Send(l.ctx, e, req)
		select {
		case s.opened <- opened{leg: l, answer: a, err: err}:
		case <-l.done:
			if a != nil {
				a.Close(false)
			}
		}
	}()
}

// count adds or takes away what the leg has in flight.
func (l *leg) count(n int) {
	use := tally.Use{Calls: n, Tokens: core.Tokens(n) * l.s.memory, Unread: core.Tokens(n) * l.unread}
	if l.backup == nil && l.s.movable() {
		use.Bare = use.Tokens
	}
	l.s.g.Tally.Add(l.endpoint.ID, use)
	if l.backup != nil {
		l.s.g.Tally.Add(l.backup.ID, tally.Use{Tokens: use.Tokens})
	}
}

// tell tells the other instances that the leg has begun or ended. What holds memory for long is told to all: others may be
// about to send a generation there, or to move one.
func (l *leg) tell() {
	l.s.g.Tell(l.endpoint.Domain, l.s.movable())
}

// grow counts more memory at the engine, and at the one that keeps a copy.
func (l *leg) grow(more core.Tokens) {
	use := tally.Use{Tokens: more}
	if l.backup == nil {
		use.Bare = more
	} else {
		l.s.g.Tally.Add(l.backup.ID, tally.Use{Tokens: more})
	}
	l.s.g.Tally.Add(l.endpoint.ID, use)
}

// dropBackup stops counting on the copy that the backup keeps.
func (l *leg) dropBackup() {
	l.s.g.Tally.Add(l.backup.ID, tally.Use{Tokens: -l.s.memory})
	l.s.g.Tally.Add(l.endpoint.ID, tally.Use{Bare: l.s.memory})
	l.s.g.streams.remove(l.backup.ID, l.s)
	l.backup = nil
}

// begun records the first event: the prompt has been read.
func (l *leg) begun() {
	if l.unread > 0 {
		l.s.g.Tally.Add(l.endpoint.ID, tally.Use{Unread: -l.unread})
		l.unread = 0
		l.s.g.Tell(l.endpoint.Domain, false)
	}
}

// read begins to read events.
func (l *leg) read(a *dial.Answer) {
	l.answer = a
	go readEvents(a.Body, l.events, l.done)
}

// close ends the leg; the engine drops the generation when its connection closes, unless the stream is whole.
func (l *leg) close(whole bool) {
	l.once.Do(func() {
		close(l.done)
		l.count(-1)
		l.tell()
		l.s.g.streams.remove(l.endpoint.ID, l.s)
		if l.backup != nil {
			l.s.g.streams.remove(l.backup.ID, l.s)
		}
		if l.answer != nil {
			l.answer.Close(whole)
		}
		l.cancel(errClosed)
	})
}
