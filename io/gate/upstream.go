package gate

import (
	"context"
	"errors"
	"sync"
	"time"

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
	continues  bool           // events with ids were delivered before this request, and it asks for those after them

	openedAt      time.Time
	sentToSilent  bool // the engine had ended, without a sign, when the request was sent
	ctx           context.Context
	cancel        context.CancelCauseFunc
	answer        *dial.Answer
	events        chan streamEvent
	eventsRead    int
	done          chan struct{}
	closeOnce     sync.Once
	prefillTokens core.Tokens // prompt tokens counted in the load table until the first event
	timer         *callTimer  // of the first event of a generation that starts at this endpoint
}

var errUpstreamClosed = errors.New("the gate closed the request to this endpoint")

// openResult is the outcome of sending an upstream's request.
type openResult struct {
	upstream *upstream
	answer   *dial.Answer
	failure  *bufferedAnswer // answer with its body, if it is no stream
	err      error
}

// open sends a request to an endpoint in the background; its outcome arrives on s.openResults.
func (s *stream) open(e core.Endpoint, from string, backup *core.Endpoint) {
	up := &upstream{s: s, endpoint: e, openedAt: time.Now(), resumeFrom: from, backup: backup, continues: s.lastEventID != "", events: make(chan streamEvent), done: make(chan struct{})}
	up.ctx, up.cancel = context.WithCancelCause(s.ctx)
	if from == "" {
		up.prefillTokens = s.PromptTokens
	} else {
		s.g.Cold.Force(up.openedAt, s.service, s.g.Endpoints.Get(e.ID))
	}
	s.pending = up
	s.sentTo = e.ID
	s.sends++
	up.countLoad(1)
	if from == "" {
		up.timer = s.startTimer(e)
	}
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
	s.inBackground("sending the request", func() {
		a, err := s.send(up.ctx, e, req)
		o := openResult{upstream: up, answer: a, err: err}
		if err == nil && !isStream(a) {
			o.failure = bufferFailure(a)
		}
		select {
		case s.openResults <- o:
		case <-up.done:
			if a != nil {
				a.Close(false)
			}
		}
	})
}

// countLoad adds the upstream's load to the load table if sign is 1, and subtracts it if sign is -1.
func (up *upstream) countLoad(sign int) {
	load := tally.Load{Calls: sign, Tokens: core.Tokens(sign) * up.s.countedMemory, PrefillTokens: core.Tokens(sign) * up.prefillTokens}
	if up.backup == nil && up.s.movable() {
		load.UncopiedTokens = load.Tokens
	}
	up.s.g.Loads.AddOwn(up.endpoint.ID, load)
	if up.backup != nil {
		up.s.g.Loads.AddOwn(up.backup.ID, tally.Load{Tokens: load.Tokens})
	}
}

// notifyPeers notifies other instances that the upstream has started or ended. For a movable generation, which occupies memory
// for long, it notifies all of them, since any may be about to send or migrate a generation to the same engine.
func (up *upstream) notifyPeers() {
	up.s.g.NotifyPeers(up.endpoint.Domain, up.s.movable())
}

// addMemory adds memory to the counts of the engine and of the engine that keeps the backup.
func (up *upstream) addMemory(more core.Tokens) {
	load := tally.Load{Tokens: more}
	if up.backup == nil {
		load.UncopiedTokens = more
	} else {
		up.s.g.Loads.AddOwn(up.backup.ID, tally.Load{Tokens: more})
	}
	up.s.g.Loads.AddOwn(up.endpoint.ID, load)
}

// removeBackup detaches the backup from the upstream and removes its memory from the load table.
func (up *upstream) removeBackup() {
	up.s.g.Loads.AddOwn(up.backup.ID, tally.Load{Tokens: -up.s.countedMemory})
	up.s.g.Loads.AddOwn(up.endpoint.ID, tally.Load{UncopiedTokens: up.s.countedMemory})
	up.s.g.streams.remove(up.backup.ID, up.s)
	up.backup = nil
}

// onFirstEvent records that the engine has finished the prefill, which the first event shows.
func (up *upstream) onFirstEvent(e streamEvent) {
	if up.prefillTokens > 0 {
		if up.s.service.Engine != nil && e.hasData() && !up.continues {
			up.timer.record()
		}
		up.s.g.Loads.AddOwn(up.endpoint.ID, tally.Load{PrefillTokens: -up.prefillTokens})
		up.prefillTokens = 0
		up.s.g.NotifyPeers(up.endpoint.Domain, false)
	}
}

// startReading starts to read events from an answer.
func (up *upstream) startReading(a *dial.Answer) {
	up.answer = a
	up.s.inBackground("reading events", func() { readEvents(a.Body, up.events, up.done) })
}

// close ends the upstream. Unless fullyRead is set, which means that the stream was read to its end, it closes the
// connection and thereby makes the engine drop the generation.
func (up *upstream) close(fullyRead bool) {
	up.closeOnce.Do(func() {
		close(up.done)
		up.countLoad(-1)
		up.notifyPeers()
		up.s.g.streams.remove(up.endpoint.ID, up.s)
		if up.backup != nil {
			up.s.g.streams.remove(up.backup.ID, up.s)
		}
		if up.answer != nil {
			up.answer.Close(fullyRead)
		}
		up.cancel(errUpstreamClosed)
	})
}
