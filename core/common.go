package core

import (
	"context"
	"errors"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"
)

// Common holds the logger and clock that every component embeds.
type Common struct {
	Log   *logrus.Entry
	Clock Clock
}

// NewCommon returns a Common with the system clock.
func NewCommon(log *logrus.Entry) Common {
	return Common{Log: log, Clock: SystemClock{}}
}

// restartDelay is the time after which Supervise starts work again that panicked.
const restartDelay = time.Second

// ErrPanicked is the error of work that a panic has ended.
var ErrPanicked = errors.New("a panic ended the work")

// Protect runs fn and logs a panic in it, so that one malformed message or unexpected error ends only the work named by what and
// not the process. It reports whether fn returned.
func (c Common) Protect(what string, fn func()) (returned bool) {
	defer func() {
		if v := recover(); v != nil {
			c.Log.WithFields(logrus.Fields{"while": what, "panic": v, "stack": string(debug.Stack())}).Error("a panic ended the work")
		}
	}()
	fn()
	return true
}

// Supervise runs fn, which runs until ctx ends, and starts it again after a panic.
func (c Common) Supervise(ctx context.Context, what string, fn func()) {
	for !c.Protect(what, fn) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(restartDelay):
		}
	}
}
