package gate_test

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/stand/plat"
)

// overlapLimit is the time for which an engine may go on with a generation that goes on at another one.
const overlapLimit = 400 * time.Millisecond

// TestEngineBeforeStops guards against a generation that is worked on at two engines: a stream has gone on at another engine, and the
// engine before, which does not drop a request when its connection closes, works on it to the end. Each case is a way by which a
// stream leaves an engine.
func TestEngineBeforeStops(t *testing.T) {
	for _, tt := range []struct {
		name    string
		path    string
		events  int
		backups bool
		prepare func(list []*plat.Engine)
		disturb func(s *system, source *plat.Engine)
	}{
		{"the engine leaves, with a backup", "/long/stream", 120, true, nil, func(s *system, e *plat.Engine) { s.markLeaving(e) }},
		{"the engine pauses, with a backup", "/long/stream", 120, true, nil, pauseForAWhile},
		{"the engine pauses, resumable", "/short/stream", 80, false, nil, pauseForAWhile},
		{"the connection breaks, resumable", "/short/stream", 80, false, nil, func(_ *system, e *plat.Engine) { e.LoseAnswers() }},
		{"the connection breaks during a second copy", "/long/stream", 120, false, slowCopies, func(s *system, e *plat.Engine) {
			s.markLeaving(e)
			time.Sleep(250 * time.Millisecond) // the first copy is complete and the second is being made
			e.LoseAnswers()
		}},
		{"the final copy is refused", "/long/stream", 120, false, refuseFinalCopies, func(s *system, e *plat.Engine) { s.markLeaving(e) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			list := newEngines(3, 20*time.Millisecond)
			for _, e := range list {
				e.Events = tt.events
				e.KeepGenerating()
			}
			if tt.prepare != nil {
				tt.prepare(list)
			}
			s := start(t, tt.backups, list...)
			resp := s.send(t.Context(), t, http.MethodPost, tt.path, "r1")
			source := waitForEngine(t, list, "r1")
			time.Sleep(100 * time.Millisecond)
			tt.disturb(s, source)
			got, err := eventIDs(resp)
			is.NoErr(err)
			checkEvents(is, got, tt.events)
			checkOverlap(t, list, "r1")
		})
	}
}

// TestLostResumptionStops guards against a generation that is worked on at two engines after the answer of the second was lost: the
// stream goes on at the first, and the second, which may have begun, is never stopped.
func TestLostResumptionStops(t *testing.T) {
	list := newEngines(2, 20*time.Millisecond)
	for _, e := range list {
		e.Events = 120
		e.KeepGenerating()
	}
	s := start(t, true, list...)
	resp := s.send(t.Context(), t, http.MethodPost, "/long/stream", "r1")
	source := waitForEngine(t, list, "r1")
	second := list[0]
	if second == source {
		second = list[1]
	}
	time.Sleep(100 * time.Millisecond)
	second.HoldHeads(100 * time.Millisecond)
	s.markLeaving(source)
	eventually(t, "the second engine runs it", func() bool { return len(second.Runs("r1")) > 0 })
	second.CloseClientConnections()
	_, _ = eventIDs(resp) // it may end early, as no third engine is there
	checkOverlap(t, list, "r1")
}

// TestSlowResumptionStops guards against a generation that is worked on at two engines because the second has begun but does not answer,
// while the first, which leaves, still generates.
func TestSlowResumptionStops(t *testing.T) {
	is := is.New(t)
	list := newEngines(3, 20*time.Millisecond)
	for _, e := range list {
		e.Events = 100
		e.KeepGenerating()
	}
	s := start(t, true, list...)
	resp := s.send(t.Context(), t, http.MethodPost, "/long/stream", "r1")
	source := waitForEngine(t, list, "r1")
	time.Sleep(100 * time.Millisecond)
	for _, e := range list {
		if e != source {
			e.HoldHeads(800 * time.Millisecond)
		}
	}
	s.markLeaving(source)
	got, err := eventIDs(resp)
	is.NoErr(err)
	checkEvents(is, got, 100)
	checkOverlap(t, list, "r1")
}

// pauseForAWhile pauses an engine for longer than the gate waits for a silent one.
func pauseForAWhile(_ *system, e *plat.Engine) {
	e.SetPaused(true)
	time.AfterFunc(1500*time.Millisecond, func() { e.SetPaused(false) })
}

// slowCopies makes copies take longer than one that has the link to itself.
func slowCopies(list []*plat.Engine) {
	for _, e := range list {
		e.BeforeMove = func() { time.Sleep(150 * time.Millisecond) }
	}
}

// refuseFinalCopies makes each engine refuse its first final copy without stopping the generation.
func refuseFinalCopies(list []*plat.Engine) {
	for _, e := range list {
		var refused atomic.Bool
		e.MoveFilter = func(w http.ResponseWriter, last bool) bool {
			if !last || refused.Swap(true) {
				return true
			}
			w.WriteHeader(http.StatusServiceUnavailable)
			_ = json.NewEncoder(w).Encode(map[string]any{}) // fails only if the caller has left
			return false
		}
	}
}

// checkOverlap checks that no two runs of an attempt go on at the same time for longer than overlapLimit.
func checkOverlap(t *testing.T, list []*plat.Engine, attempt string) {
	t.Helper()
	time.Sleep(overlapLimit) // a run that goes on now is too long
	var runs []plat.Run
	for _, e := range list {
		runs = append(runs, e.Runs(attempt)...)
	}
	for i, r := range runs {
		for _, before := range runs[:i] {
			if d := plat.Overlap(before, r); d > overlapLimit {
				t.Errorf("%s was worked on at two engines for %v", attempt, d)
			}
		}
	}
}
