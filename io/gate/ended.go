package gate

import (
	"context"
	"errors"
	"net/http"
	"time"

	"snipeshed/core"
	"snipeshed/io/dial"
)

// crashCheckTimeout bounds a check whether an endpoint's process has ended. A crashed one refuses connections within milliseconds.
const crashCheckTimeout = 150 * time.Millisecond

var errProcessEnded = errors.New("the answer ended without a length, and its endpoint refuses connections")

// isFramed reports whether an answer has a length or chunks, which show whether it is complete.
func isFramed(a *dial.Answer) bool {
	return a.ContentLength >= 0 || len(a.TransferEncoding) > 0 || a.Body == http.NoBody
}

// endedWithProcess reports whether an answer without a length ended because the process of its endpoint has ended: the system then closes
// the connection as the endpoint does after a complete answer.
func (c *call) endedWithProcess(a *dial.Answer, e core.Endpoint) bool {
	if isFramed(a) {
		return false
	}
	ctx, cancel := context.WithTimeout(c.ctx, crashCheckTimeout)
	defer cancel()
	return c.g.Client.HasEnded(ctx, e)
}

// refusesConnections reports whether the process of an endpoint has ended, so that connections to it are refused.
func (c *call) refusesConnections(e core.Endpoint) bool {
	ctx, cancel := context.WithTimeout(c.ctx, crashCheckTimeout)
	defer cancel()
	return c.g.Client.RefusesConnections(ctx, e)
}
