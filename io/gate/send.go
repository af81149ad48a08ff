package gate

import (
	"context"
	"errors"

	"snipeshed/core"
	"snipeshed/io/dial"
	"snipeshed/io/event"
)

// send sends a request to an endpoint, observes the headers of its answer, and logs the answers to other requests that arrived
// in place of its own.
func (c *call) send(ctx context.Context, e core.Endpoint, r *dial.Request) (*dial.Answer, error) {
	a, err := c.g.Client.Send(ctx, e, r)
	if err == nil {
		c.g.ObserveReply(e, a.ReplyHeaders)
	}
	c.logSkipped(e.ID, skippedAnswers(a, err))
	return a, err
}

func skippedAnswers(a *dial.Answer, err error) []dial.SkippedAnswer {
	if err == nil {
		return a.Skipped
	}
	var sendErr *dial.Error
	if errors.As(err, &sendErr) {
		return sendErr.Skipped
	}
	return nil
}

func (c *call) logSkipped(id core.EndpointID, skipped []dial.SkippedAnswer) {
	for _, s := range skipped {
		c.g.Log.EmitRequest(event.AnswerSkipped, c.ID, event.Fields{"endpoint": id, "skipped_id": s.ID, "status": s.Status})
	}
}
