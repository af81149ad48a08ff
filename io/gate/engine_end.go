package gate

import (
	"context"
	"errors"
	"sync"
	"time"

	"snipeshed/core"
	"snipeshed/io/event"
	"snipeshed/io/head"
)

// endCheckDelays are the times after the loss of a request at which its engine is checked for the end of its process: hosts close
// the connections of a process before its listener at times.
var endCheckDelays = []time.Duration{50 * time.Millisecond, 500 * time.Millisecond}

// endChecks holds the engine processes that are being checked.
type endChecks struct {
	mu      sync.Mutex
	running map[core.Incarnation]bool
}

func newEndChecks() *endChecks { return &endChecks{running: map[core.Incarnation]bool{}} }

// begin reports whether no check of a process runs, and records that one does.
func (c *endChecks) begin(inc core.Incarnation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[inc] {
		return false
	}
	c.running[inc] = true
	return true
}

func (c *endChecks) end(inc core.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, inc)
}

// checkEnd checks in the background whether the process of an engine that has lost a request has ended.
func (g *Gate) checkEnd(e core.Endpoint) {
	inc := e.Incarnation()
	if !g.endChecks.begin(inc) {
		return
	}
	go func() {
		defer g.Log.Recover("checking whether an engine has ended")
		defer g.endChecks.end(inc)
		for _, delay := range endCheckDelays {
			time.Sleep(delay)
			if g.refusesConnections(e) {
				g.recordEnd(inc) // each instance that has lost a request there finds out by itself
				g.OnRefusalReported(time.Now(), e.ID)
				return
			}
		}
		g.checkStatus(e)
	}()
}

// checkRemoved checks in the background whether an engine has ended whose entry was removed although it was not leaving. Some
// engines go on for a while after that.
func (g *Gate) checkRemoved(e core.Endpoint) {
	if !g.Blame.HasLosses(e.Incarnation()) {
		return
	}
	go func() {
		defer g.Log.Recover("checking whether an engine has ended")
		g.checkStatus(e)
	}()
}

// checkStatus asks an engine for its status and records that its process has ended if there is no answer, or one of another process.
// An engine that has only lost an answer still tells its status, and one whose answer is malformed has not ended.
func (g *Gate) checkStatus(e core.Endpoint) {
	status, err := g.Mover.EngineStatus(e)
	if errors.Is(err, head.ErrMalformed) {
		return
	}
	if err != nil || (status.Started != 0 && status.Started != e.Started) {
		g.recordEnd(e.Incarnation())
	}
}

func (g *Gate) refusesConnections(e core.Endpoint) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	return g.Client.RefusesConnections(ctx, e)
}

func (g *Gate) isLeaving(id core.EndpointID) bool {
	e := g.Endpoints.Get(id)
	return e == nil || e.Leaving
}

// OnEndpointRestarted handles the news that another process has taken the place of an engine's process.
func (g *Gate) OnEndpointRestarted(inc core.Incarnation) {
	g.recordEnd(inc)
	g.streams.notifyReplaced(inc.ID)
}

// recordRefusal records that the process of an endpoint has ended, as its host refuses connections, unless it was leaving.
func (g *Gate) recordRefusal(id core.EndpointID) {
	if e := g.Endpoints.Get(id); e != nil && !e.Leaving {
		g.recordEnd(e.Incarnation())
	}
}

// recordEnd records that the process of an engine has ended by itself.
func (g *Gate) recordEnd(inc core.Incarnation) {
	if losses := g.Blame.RecordEnd(time.Now(), inc); len(losses) > 0 {
		g.logCrash(inc, "", losses)
	}
}

// recordCrash records that an engine has crashed when it had just begun to answer a request, and tells the other instances.
func (g *Gate) recordCrash(e core.Endpoint, id core.AttemptID, parts []core.PromptPart) {
	inc := e.Incarnation()
	if !g.Blame.RecordCrash(time.Now(), inc, parts) {
		return
	}
	g.logCrash(inc, id, []core.Loss{{Evidence: core.EvidenceHead, Parts: parts}})
	g.MarkUnreachable(e.ID, true)
	g.SyncPeers()
}

// logCrash logs the requests that were lost in a crash; id is that of the request which told of it, if one did.
func (g *Gate) logCrash(inc core.Incarnation, id core.AttemptID, losses []core.Loss) {
	g.Meter.Count("engine_crashed")
	for _, l := range losses {
		g.Log.EmitRequest(event.EngineCrashed, id, event.Fields{
			"endpoint": inc.ID, "started": inc.Started, "parts": l.Parts, "evidence": l.Evidence,
		})
	}
}
