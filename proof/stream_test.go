package proof

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/stand/caller"
	"snipeshed/stand/fleet"
	"snipeshed/stand/runner"
)

// TestStreamFailures guards against tokens that are lost, repeated or of another generation after a failure in the middle of
// a stream, and against silent connections that are not detected in time.
func TestStreamFailures(t *testing.T) {
	t.Parallel()
	const output = 150 // about 1.2 s
	tests := []struct {
		name string
		fail func(tf *testFleet, owner, entry *fleet.Node)
		// viaOwner reports whether the request goes to the owner itself.
		viaOwner bool
		// maxGap bounds the longest time between two tokens.
		maxGap time.Duration
		// busy reports whether a burst of requests first leaves idle connections to runners and peers.
		busy bool
	}{
		{name: "engine connections cut", maxGap: resumeSlack, fail: func(tf *testFleet, _, _ *fleet.Node) {
			tf.RunnerLinks[tf.servingRunner()].ResetConnections()
		}},
		{name: "engine streams cut twice", maxGap: resumeSlack, viaOwner: true, fail: func(tf *testFleet, _, _ *fleet.Node) {
			r := tf.Runners[tf.servingRunner()]
			r.KillStreams()
			time.Sleep(200 * time.Millisecond)
			r.KillStreams()
		}},
		{name: "engine connection silent", maxGap: detectBound + resumeSlack, fail: func(tf *testFleet, _, _ *fleet.Node) {
			tf.RunnerLinks[tf.servingRunner()].Stall()
		}},
		{name: "engine connection and idle ones silent", maxGap: detectBound + resumeSlack, busy: true, fail: func(tf *testFleet, _, _ *fleet.Node) {
			tf.RunnerLinks[tf.servingRunner()].Stall()
		}},
		{name: "engine streams silent", maxGap: detectBound + resumeSlack, viaOwner: true, fail: func(tf *testFleet, _, _ *fleet.Node) {
			tf.Runners[tf.servingRunner()].Freeze(runner.ScopeStreams)
		}},
		{name: "engine slow", maxGap: 3*time.Second + resumeSlack, fail: func(tf *testFleet, _, _ *fleet.Node) {
			r := tf.Runners[tf.servingRunner()]
			r.Freeze(runner.ScopeEngine)
			time.AfterFunc(3*time.Second, func() { r.Thaw(runner.ScopeEngine) })
		}},
		{name: "engine paused", maxGap: 2500*time.Millisecond + detectBound + resumeSlack, viaOwner: true, fail: func(tf *testFleet, _, _ *fleet.Node) {
			r := tf.Runners[tf.servingRunner()]
			r.Freeze(runner.ScopeAll)
			time.AfterFunc(2500*time.Millisecond, func() { r.Thaw(runner.ScopeAll) })
		}},
		{name: "owner killed", maxGap: resumeSlack, fail: func(tf *testFleet, owner, _ *fleet.Node) {
			if err := owner.Kill(); err != nil {
				tf.t.Error(err)
			}
		}},
		{name: "owner killed, then the next", maxGap: resumeSlack, fail: func(tf *testFleet, owner, entry *fleet.Node) {
			if err := owner.Kill(); err != nil {
				tf.t.Error(err)
			}
			time.Sleep(200 * time.Millisecond)
			for _, n := range tf.Nodes {
				if n != owner && n != entry {
					if err := n.Kill(); err != nil {
						tf.t.Error(err)
					}
				}
			}
		}},
		{name: "link to the owner cut", maxGap: resumeSlack, fail: func(_ *testFleet, owner, _ *fleet.Node) { owner.PeerLink.ResetConnections() }},
		{name: "link to the owner silent", maxGap: detectBound + resumeSlack, busy: true, fail: func(_ *testFleet, owner, _ *fleet.Node) { owner.PeerLink.Stall() }},
		{name: "owner cut off from entries", maxGap: detectBound + resumeSlack, busy: true, fail: func(_ *testFleet, owner, _ *fleet.Node) {
			owner.PeerLink.Partition()
		}},
		{name: "links to owner and engine silent", maxGap: detectBound + resumeSlack, busy: true, fail: func(tf *testFleet, owner, _ *fleet.Node) {
			tf.RunnerLinks[tf.servingRunner()].Stall()
			owner.PeerLink.Stall()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			tf := startFleet(t)
			owner, entry := tf.ownerAndOther()
			if tt.viaOwner {
				entry = owner
			}
			if tt.busy {
				tf.sendBurst(entry, 24)
			}
			q := chatRequest{OutputTokens: output, Mark: caller.NewMark(), CallbackAt: 20}
			q.Callback = func() { tt.fail(tf, owner, entry) }
			a := tf.chat(entry, q)
			t.Log(a)
			if err := a.CheckComplete(q); err != nil {
				t.Error(err)
			}
			if a.LongestGap > tt.maxGap {
				t.Errorf("longest gap %s exceeds the bound %s", a.LongestGap, tt.maxGap)
			}
			if n := tf.StartsOf(a.RequestID); n != 1 {
				t.Errorf("%d generations were started for one stream", n)
			}
		})
	}
}

// sendBurst sends n short requests concurrently and checks that they complete.
func (tf *testFleet) sendBurst(entry *fleet.Node, n int) {
	tf.t.Helper()
	errs := make(chan error, n)
	for range n {
		go func() {
			q := chatRequest{OutputTokens: 3, Mark: caller.NewMark()}
			errs <- tf.chat(entry, q).CheckComplete(q)
		}()
	}
	for range n {
		if err := <-errs; err != nil {
			tf.t.Error(err)
		}
	}
}

// TestEngineReset guards against a stream that mixes tokens of two generations, and against the loss of a non-streamed answer,
// when an engine loses its generations.
func TestEngineReset(t *testing.T) {
	t.Parallel()
	for _, nonStreaming := range []bool{false, true} {
		name := map[bool]string{false: "streamed", true: "whole"}[nonStreaming]
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			tf := startFleet(t)
			owner, other := tf.ownerAndOther()
			for _, entry := range []*fleet.Node{owner, other} {
				q := chatRequest{OutputTokens: 120, Mark: caller.NewMark(), NonStreaming: nonStreaming, CallbackAt: 20}
				reset := func() { _ = tf.Runners[tf.servingRunner()].Reset() }
				if nonStreaming {
					time.AfterFunc(400*time.Millisecond, reset)
				} else {
					q.Callback = reset
				}
				a := tf.chat(entry, q)
				t.Log(a)
				if nonStreaming {
					is.NoErr(a.CheckComplete(q))
					is.True(tf.StartsOf(a.RequestID) == 2) // regenerated once
					continue
				}
				n, err := a.CheckTokens(q)
				is.NoErr(err)
				is.True(!a.Done && a.Err != nil) // an error event, no [DONE]
				is.Equal(a.Err.Kind, core.KindStreamBroken)
				is.Equal(a.Err.TokensDelivered, int64(n))
				is.True(a.Err.Run != core.NotExecuted)
				is.Equal(tf.StartsOf(a.RequestID), 1)
			}
		})
	}
}
