package gate

import (
	"time"

	"snipeshed/core"
	"snipeshed/io/event"
)

// ObserveReply records what the headers of any answer say about the endpoint that sent it. The endpoint is the one to which the
// request was sent: an answer that arrives after its restart says nothing about the new process.
func (g *Gate) ObserveReply(e core.Endpoint, reply core.ReplyHeaders) {
	if reply.Misdirected {
		return // another endpoint now has the address
	}
	if reply.Leaving && g.Endpoints.MarkLeaving(time.Now(), e.Incarnation()) {
		g.Log.Emit(event.AnsweredLeaving, event.Fields{"endpoint": e.ID})
		g.SyncPeers()
	}
	if reply.RetryAfter > 0 && g.Endpoints.MarkBackoff(time.Now(), e.Incarnation(), reply.RetryAfter) {
		g.Log.Emit(event.EndpointBackoff, event.Fields{"endpoint": e.ID, "for_ms": reply.RetryAfter.Milliseconds()})
	}
}
