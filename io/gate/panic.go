package gate

import (
	"errors"
	"net/http"
	"runtime/debug"

	"snipeshed/io/event"
)

// abortOnPanic ends a call whose handler panicked with an aborted connection, which promises nothing about its outcome, and logs
// the panic unless it is the gate's own way to abort.
func (c *call) abortOnPanic() {
	v := recover()
	if v == nil {
		return
	}
	if err, ok := v.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		c.outcome = "aborted"
		c.g.Meter.Count("panicked")
		c.g.Log.EmitRequest(event.Panicked, c.ID, event.Fields{"while": "serving the call", "error": v, "stack": string(debug.Stack())})
	}
	panic(http.ErrAbortHandler)
}

// inBackground runs f in a goroutine of its own. If f panics, the stream ends with a connection error of its engine or at its
// deadline, and other calls go on.
func (s *stream) inBackground(what string, f func()) {
	go func() {
		defer s.g.Log.Recover(what)
		f()
	}()
}
