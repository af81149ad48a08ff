package proof

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/stand/caller"
	"snipeshed/stand/fleet"
)

// TestSilentApplication guards against calls to application services that wait for their deadline on a dead connection,
// against a second run of a protected action after such a connection was detected, and against taking a slow application for
// a dead connection.
func TestSilentApplication(t *testing.T) {
	t.Parallel()
	const slow, timeout = 6 * time.Second, 30 * time.Second
	for _, tt := range []struct {
		name   string
		key    string // idempotency key of a protected action; empty for an idempotent call
		silent bool
		status int
	}{
		{name: "idempotent, connection silent", silent: true, status: http.StatusOK},
		{name: "idempotent, application slow", status: http.StatusOK},
		{name: "protected, connection silent", key: "silent", silent: true, status: http.StatusBadGateway},
		{name: "protected, application slow", key: "slow", status: http.StatusOK},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			tf := startFleet(t)
			app := tf.AppRunners[0]
			app.SetDelay(slow)
			got := make(chan answer, 1)
			go func() {
				if tt.key == "" {
					got <- caller.CallIdempotent(tf.client, tf.Nodes[0].ClientAddress(), timeout)
					return
				}
				got <- tf.sendAction(tf.Nodes[0], tt.key, timeout)
			}()
			is.NoErr(fleet.Wait(startLimit, "the application has the call", func() bool { return app.Counts().Open == 1 }))
			app.SetDelay(0) // the following calls are fast
			began := time.Now()
			if tt.silent {
				is.NoErr(tf.AppRunnerLinks[0].Blackhole())
			}
			a := <-got
			took := time.Since(began)
			t.Logf("answered %s after the connection or application became silent: %s", took, a)
			is.Equal(a.Status, tt.status)
			is.True(!tt.silent || took <= detectBound+resumeSlack)
			if tt.key == "" {
				is.Equal(app.Counts().Total+app.Counts().Open == 2, tt.silent) // retried only when the connection is dead
				return
			}
			if tt.silent {
				is.Equal(a.Err.Kind, core.KindOutcomeUnknown)
				is.Equal(a.Err.Run, core.ExecutionUnknown)
			}
			is.NoErr(fleet.Wait(startLimit, "the application has run the call", func() bool { return app.Counts().Open == 0 }))
			last := tf.sendAction(tf.Nodes[1], tt.key, timeout)
			t.Logf("retry: %s", last)
			is.True(!last.NotRun())
			is.Equal(app.Runs(tt.key), int64(1))
		})
	}
}
