package gate

import (
	"context"
	"errors"
	"sync"

	"snipeshed/core"
	"snipeshed/core/tally"
	"snipeshed/io/dial"
)

// upstream is the request of a stream to one endpoint, with the events that this endpoint returns. A stream has several in
// turn when it is retried or its generation is migrated.
type upstream struct {
	s          *stream
	endpoint   core.Endpoint
	resumeFrom string         // location of the generation's memory; empty when the generation starts at this endpoint
	backup     *core.Endpoint // keeps a copy of the generation's memory

	ctx       context.Context
	cancel    context.CancelCauseFunc
	answer    *dial.Answer
	events    chan streamEvent
	done      chan struct{}
	closeOnce sync.Once
	unread    core.Tokens
}

var errUpstreamClosed = errors.New("the gate closed the request to this endpoint")

// openResult is the outcome of sending an upstream's request.
type openResult struct {
	upstream *upstream
	answer   *dial.Answer
	err      error
}

// open sends a request to an endpoint in the background; its outcome arrives on s.openResults.
func (s *stream) open(e core.Endpoint, from string, backup *core.Endpoint) {
	up := &upstream{s: s, endpoint: e, resumeFrom: from, backup: backup, events: make(chan streamEvent), done: make(chan struct{})}
	up.ctx, up.cancel = context.WithCancelCause(s.ctx)
	if from == "" {
		up.unread = s.PromptTokens
	}
	s.pending = up
	s.sentTo = e.ID
	up.addToTally(1)
	up.notifyPeers()
	s.g.streams.add(e.ID, s)
	if backup != nil {
		s.g.streams.add(backup.ID, s)
	}
	out := core.OutboundHeaders{Endpoint: e.ID, Urgency: noUrgency, MemorySource: from, LastEventID: s.lastEventID, ReservationID: s.reservation}
	s.reservation = ""
	if backup != nil {
		out.Backup = backup.Address
	}
	req := s.outboundRequest(out)
	go func() {
		a, err := s.g.Dial.Send(up.ctx, e, req)
		select {
		case s.openResults <- openResult{upstream: up, answer: a, err: err}:
		case <-up.done:
			if a != nil {
				a.Close(false)
			}
		}
	}()
}

// addToTally adds the upstream's load to the load table with n = 1, and removes it with n = -1.
func (up *upstream) addToTally(n int) {
	use := tally.Load{Calls: n, Tokens: core.Tokens(n) * up.s.countedMemory, PrefillTokens: core.Tokens(n) * up.unread}
	if up.backup == nil && up.s.movable() {
		use.UncopiedTokens = use.Tokens
	}
	up.s.g.Tally.AddOwn(up.endpoint.ID, use)
	if up.backup != nil {
		up.s.g.Tally.AddOwn(up.backup.ID, tally.Load{Tokens: use.Tokens})
	}
}

// notifyPeers tells other instances that the upstream has started or ended. For a movable generation, which holds memory for
// long, it tells all of them: any may be about to send a generation there or to migrate one.
func (up *upstream) notifyPeers() {
	up.s.g.NotifyPeers(up.endpoint.Domain, up.s.movable())
}

// addMemory counts more memory at the engine, and at the engine that keeps a copy.
func (up *upstream) addMemory(more core.Tokens) {
	use := tally.Load{Tokens: more}
	if up.backup == nil {
		use.UncopiedTokens = more
	} else {
		up.s.g.Tally.AddOwn(up.backup.ID, tally.Load{Tokens: more})
	}
	up.s.g.Tally.AddOwn(up.endpoint.ID, use)
}

// uncountBackup removes the backup from the upstream and its copy from the load table.
func (up *upstream) uncountBackup() {
	up.s.g.Tally.AddOwn(up.backup.ID, tally.Load{Tokens: -up.s.countedMemory})
	up.s.g.Tally.AddOwn(up.endpoint.ID, tally.Load{UncopiedTokens: up.s.countedMemory})
	up.s.g.streams.remove(up.backup.ID, up.s)
	up.backup = nil
}

// onFirstEvent records that the prompt has been read, which the first event shows.
func (up *upstream) onFirstEvent() {
	if up.unread > 0 {
		up.s.g.Tally.AddOwn(up.endpoint.ID, tally.Load{PrefillTokens: -up.unread})
		up.unread = 0
		up.s.g.NotifyPeers(up.endpoint.Domain, false)
	}
}

// startReading starts to read events from an answer.
func (up *upstream) startReading(a *dial.Answer) {
	up.answer = a
	go readEvents(a.Body, up.events, up.done)
}

// close ends the upstream. Unless whole is set, its connection is closed, which makes the engine drop the generation.
func (up *upstream) close(whole bool) {
	up.closeOnce.Do(func() {
		close(up.done)
		up.addToTally(-1)
		up.notifyPeers()
		up.s.g.streams.remove(up.endpoint.ID, up.s)
		if up.backup != nil {
			up.s.g.streams.remove(up.backup.ID, up.s)
		}
		if up.answer != nil {
			up.answer.Close(whole)
		}
		up.cancel(errUpstreamClosed)
	})
}
