package gate_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/tally"
)

// TestStalledStream guards against a stalled stream that is kept until its deadline because its engine sends a comment or part of
// an event now and then, although another engine could go on with it.
func TestStalledStream(t *testing.T) {
	for _, tt := range []struct {
		name, trickle string
	}{
		{"silent", ""},
		{"comments", ": keep-alive\n\n"},
		{"part of an event", "i"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			list := newEngines(2, time.Millisecond)
			var calls atomic.Int32
			for _, e := range list {
				e.StreamHandler = func(w http.ResponseWriter, r *http.Request) {
					if calls.Add(1) > 1 {
						_, _ = io.WriteString(w, events(3, 5))
						return
					}
					_, _ = io.WriteString(w, events(1, 2))
					rc := http.NewResponseController(w)
					for err := rc.Flush(); err == nil && r.Context().Err() == nil; err = rc.Flush() {
						time.Sleep(20 * time.Millisecond)
						_, _ = io.WriteString(w, tt.trickle)
					}
				}
			}
			begun := time.Now()
			got, err := eventIDs(start(t, false, list...).send(t.Context(), t, http.MethodPost, "/short/stream", "r1"))
			is.NoErr(err)
			checkEvents(is, got, 5)
			is.True(time.Since(begun) < 2*time.Second) // the deadline is after 3 s
		})
	}
}

// TestSlowStream guards against a slow but sound stream that is cut or started again at another engine.
func TestSlowStream(t *testing.T) {
	is := is.New(t)
	list := newEngines(2, 600*time.Millisecond)
	for _, e := range list {
		e.Events = 4
	}
	s := start(t, false, list...)
	got, err := eventIDs(s.send(t.Context(), t, http.MethodPost, "/short/stream", "r1"))
	is.NoErr(err)
	checkEvents(is, got, 4)
	is.Equal(totalRuns(list, "r1"), 1)
}

// TestStalledWithoutRoom guards against a stalled stream that is given up although its engine may go on and no other has room.
func TestStalledWithoutRoom(t *testing.T) {
	is := is.New(t)
	list := newEngines(2, time.Millisecond)
	for _, e := range list {
		e.StreamHandler = func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, events(1, 2))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(1200 * time.Millisecond)
			_, _ = io.WriteString(w, events(3, 5))
		}
	}
	s := start(t, false, list...)
	resp := s.send(t.Context(), t, http.MethodPost, "/short/stream", "r1")
	full := map[core.EndpointID]tally.Load{"lm-1": {Calls: 8, Tokens: 9900}, "lm-2": {Calls: 8, Tokens: 9900}}
	s.loads.ReplacePeer(time.Now(), time.Now().Add(time.Minute), "peer", full)
	got, err := eventIDs(resp)
	is.NoErr(err)
	checkEvents(is, got, 5)
}
