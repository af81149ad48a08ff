package gate

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSilenceAfterPause guards against an engine that counts as silent because this instance was frozen: the timer fires before
// the events that arrived meanwhile are read, and the stream is started again elsewhere.
func TestSilenceAfterPause(t *testing.T) {
	is := is.New(t)
	s := &stream{timer: time.NewTimer(time.Hour), silenceDeadline: time.Now().Add(-3 * time.Second)}
	s.onTimer() // resuming the stream would panic without a gate
	left := time.Until(s.silenceDeadline)
	is.True(left > 0 && left <= afterPauseGrace)
}

// TestAttemptAfterPause guards against an answer that is given up because this instance was frozen when the attempt's time ended.
func TestAttemptAfterPause(t *testing.T) {
	is := is.New(t)
	a := &attempt{}
	a.ctx, a.cancel = context.WithCancelCause(t.Context())
	a.expire(time.Now().Add(-3 * time.Second))
	is.NoErr(a.ctx.Err())
	<-a.ctx.Done()
	is.Equal(context.Cause(a.ctx), errAttemptTimeout)

	onTime := &attempt{}
	onTime.ctx, onTime.cancel = context.WithCancelCause(t.Context())
	onTime.expire(time.Now())
	is.Equal(context.Cause(onTime.ctx), errAttemptTimeout)
}
