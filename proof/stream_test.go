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

// TestStreamFailures guards against tokens that are lost, repeated or of another generation after a failure midway,
// and against silent connections that are not noticed in time.
func TestStreamFailures(t *testing.T) {
	t.Parallel()
	const output = 150 // about 1.2 s
	tests := []struct {
		name string
		fail func(w *world, owner, entry *fleet.Node)
		// viaOwner sends the request to the owner itself.
		viaOwner bool
		gap      time.Duration
		// busy leaves idle connections to runners and peers behind before the failure.
		busy bool
	}{
		{name: "engine connections cut", gap: resumeSlack, fail: func(w *world, _, _ *fleet.Node) {
			w.RunnerLinks[w.serving()].Cut()
		}},
		{name: "engine streams cut twice", gap: resumeSlack, viaOwner: true, fail: func(w *world, _, _ *fleet.Node) {
			r := w.Runners[w.serving()]
			r.KillStreams()
			time.Sleep(200 * time.Millisecond)
			r.KillStreams()
		}},
		{name: "engine connection silent", gap: detect + resumeSlack, fail: func(w *world, _, _ *fleet.Node) {
			w.RunnerLinks[w.serving()].Stall()
		}},
		{name: "engine connection and idle ones silent", gap: detect + resumeSlack, busy: true, fail: func(w *world, _, _ *fleet.Node) {
			w.RunnerLinks[w.serving()].Stall()
		}},
		{name: "engine streams silent", gap: detect + resumeSlack, viaOwner: true, fail: func(w *world, _, _ *fleet.Node) {
			w.Runners[w.serving()].Freeze(runner.ScopeStreams)
		}},
		{name: "engine slow", gap: 3*time.Second + resumeSlack, fail: func(w *world, _, _ *fleet.Node) {
			r := w.Runners[w.serving()]
			r.Freeze(runner.ScopeEngine)
			time.AfterFunc(3*time.Second, func() { r.Thaw(runner.ScopeEngine) })
		}},
		{name: "engine paused", gap: 2500*time.Millisecond + detect + resumeSlack, viaOwner: true, fail: func(w *world, _, _ *fleet.Node) {
			r := w.Runners[w.serving()]
			r.Freeze(runner.ScopeAll)
			time.AfterFunc(2500*time.Millisecond, func() { r.Thaw(runner.ScopeAll) })
		}},
		{name: "owner killed", gap: resumeSlack, fail: func(w *world, owner, _ *fleet.Node) {
			if err := owner.Kill(); err != nil {
				w.t.Error(err)
			}
		}},
		{name: "owner killed, then the next", gap: resumeSlack, fail: func(w *world, owner, entry *fleet.Node) {
			if err := owner.Kill(); err != nil {
				w.t.Error(err)
			}
			time.Sleep(200 * time.Millisecond)
			for _, n := range w.Nodes {
				if n != owner && n != entry {
					if err := n.Kill(); err != nil {
						w.t.Error(err)
					}
				}
			}
		}},
		{name: "link to the owner cut", gap: resumeSlack, fail: func(_ *world, owner, _ *fleet.Node) { owner.PeerLink.Cut() }},
		{name: "link to the owner silent", gap: detect + resumeSlack, busy: true, fail: func(_ *world, owner, _ *fleet.Node) { owner.PeerLink.Stall() }},
		{name: "owner cut off from entries", gap: detect + resumeSlack, busy: true, fail: func(_ *world, owner, _ *fleet.Node) {
			owner.PeerLink.Partition()
		}},
		{name: "links to owner and engine silent", gap: detect + resumeSlack, busy: true, fail: func(w *world, owner, _ *fleet.Node) {
			w.RunnerLinks[w.serving()].Stall()
			owner.PeerLink.Stall()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := start(t)
			owner, entry := w.owner()
			if tt.viaOwner {
				entry = owner
			}
			if tt.busy {
				w.burst(entry, 24)
			}
			q := ask{Output: output, Mark: caller.NewMark(), At: 20}
			q.Then = func() { tt.fail(w, owner, entry) }
			a := w.chat(entry, q)
			t.Log(a)
			if err := a.Complete(q); err != nil {
				t.Error(err)
			}
			if a.Gap > tt.gap {
				t.Errorf("longest gap %s exceeds the bound %s", a.Gap, tt.gap)
			}
			if n := w.Starts(a.ID); n != 1 {
				t.Errorf("%d generations were started for one stream", n)
			}
		})
	}
}

// burst sends n short requests at once and waits for them.
func (w *world) burst(entry *fleet.Node, n int) {
	w.t.Helper()
	errs := make(chan error, n)
	for range n {
		go func() {
			q := ask{Output: 3, Mark: caller.NewMark()}
			errs <- w.chat(entry, q).Complete(q)
		}()
	}
	for range n {
		if err := <-errs; err != nil {
			w.t.Error(err)
		}
	}
}

// TestEngineReset guards against a splice of two generations in a stream, and against the loss of a whole answer.
func TestEngineReset(t *testing.T) {
	t.Parallel()
	for _, whole := range []bool{false, true} {
		name := map[bool]string{false: "streamed", true: "whole"}[whole]
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := start(t)
			owner, other := w.owner()
			for _, entry := range []*fleet.Node{owner, other} {
				q := ask{Output: 120, Mark: caller.NewMark(), Whole: whole, At: 20}
				reset := func() { w.Runners[w.serving()].Reset() }
				if whole {
					time.AfterFunc(400*time.Millisecond, reset)
				} else {
					q.Then = reset
				}
				a := w.chat(entry, q)
				t.Log(a)
				if whole {
					is.NoErr(a.Complete(q))
					is.True(w.Starts(a.ID) == 2) // regenerated once
					continue
				}
				n, err := a.Check(q)
				is.NoErr(err)
				is.True(!a.Done && a.Err != nil) // an error event, no [DONE]
				is.Equal(a.Err.Kind, core.KindStreamBroken)
				is.Equal(a.Err.TokensDelivered, int64(n))
				is.True(a.Err.Run != core.RunNot)
				is.Equal(w.Starts(a.ID), 1)
			}
		})
	}
}
