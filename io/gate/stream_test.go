package gate_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/tally"
	"snipeshed/stand/plat"
)

func newEngines(n int, interval time.Duration) []*plat.Engine {
	var out []*plat.Engine
	for _, id := range []string{"lm-1", "lm-2", "lm-3"}[:n] {
		e := plat.NewEngine(id)
		e.Interval = interval
		out = append(out, e)
	}
	return out
}

// waitForEngine waits until an engine runs an attempt and returns it.
func waitForEngine(t *testing.T, list []*plat.Engine, attempt string) *plat.Engine {
	t.Helper()
	var found *plat.Engine
	eventually(t, "the generation runs", func() bool {
		for _, e := range list {
			if e.StartCount(attempt) > 0 {
				found = e
			}
		}
		return found != nil
	})
	return found
}

func totalRuns(list []*plat.Engine, attempt string) int {
	n := 0
	for _, e := range list {
		n += e.StartCount(attempt)
	}
	return n
}

// TestStreams guards against streams that lose, repeat or reorder events, or run twice, when their engine leaves or
// crashes, as under a load pattern that removes an engine every few seconds.
func TestStreams(t *testing.T) {
	for _, tt := range []struct {
		name    string
		path    string
		backups bool
		disturb func(s *system, e *plat.Engine)
		runs    int
	}{
		{"undisturbed", "/long/stream", false, func(*system, *plat.Engine) {}, 1},
		{"the engine leaves", "/long/stream", false, func(s *system, e *plat.Engine) { s.markLeaving(e) }, 1},
		{"the engine leaves, with a backup", "/long/stream", true, func(s *system, e *plat.Engine) { s.markLeaving(e) }, 1},
		{"the engine crashes, with a backup", "/long/stream", true, func(_ *system, e *plat.Engine) { e.Close() }, 1},
		{"the engine crashes, resumable", "/short/stream", false, func(_ *system, e *plat.Engine) { e.Close() }, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			list := newEngines(3, 15*time.Millisecond)
			for _, e := range list {
				e.Events = 100
			}
			s := start(t, tt.backups, list...)
			resp := s.send(t.Context(), t, http.MethodPost, tt.path, "r1")
			e := waitForEngine(t, list, "r1")
			time.Sleep(100 * time.Millisecond)
			tt.disturb(s, e)
			got, err := eventIDs(resp)
			is.NoErr(err)
			checkEvents(is, got, 100)
			is.Equal(totalRuns(list, "r1"), tt.runs)
			is.Equal(resp.Header.Get("Snipeshed-Server-Seal"), "seal-"+e.ID) // the first engine's
		})
	}
}

// TestStreamCut guards against a broken stream that looks complete: a resumable stream whose engine
// crashes and that no other engine takes must not end like a complete one, with the text of a refusal as its last bytes.
func TestStreamCut(t *testing.T) {
	for _, path := range []string{"/long/stream", "/short/stream"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			list := newEngines(1, 15*time.Millisecond)
			s := start(t, false, list...)
			resp := s.send(t.Context(), t, http.MethodPost, path, "r1")
			waitForEngine(t, list, "r1")
			time.Sleep(60 * time.Millisecond)
			list[0].Close()
			_, err := eventIDs(resp)
			is.True(err != nil) // the connection closes before the end of the response
			is.Equal(totalRuns(list, "r1"), 1)
		})
	}
}

// TestMoveWithoutRoom guards against a generation that is lost because the first target of its migration has no room, as
// when engines leave under high load.
func TestMoveWithoutRoom(t *testing.T) {
	is := is.New(t)
	list := newEngines(3, 15*time.Millisecond)
	for _, e := range list {
		e.Events = 80
	}
	s := start(t, false, list...)
	resp := s.send(t.Context(), t, http.MethodPost, "/long/stream", "r1")
	source := waitForEngine(t, list, "r1")
	for _, e := range list {
		if e != source {
			e.SetNoRoom(true)
			break
		}
	}
	time.Sleep(50 * time.Millisecond)
	s.markLeaving(source)
	got, err := eventIDs(resp)
	is.NoErr(err)
	checkEvents(is, got, 80)
	is.Equal(totalRuns(list, "r1"), 1)
}

// TestLostAnswer guards against a generation that runs at two engines: an engine whose connection broke may continue, and
// must be stopped before the stream is resumed from its backup. It happens when a connection reset loses the answer;
// deploy/days/answer-lost.toml is a load pattern with such resets.
func TestLostAnswer(t *testing.T) {
	is := is.New(t)
	list := newEngines(3, 15*time.Millisecond)
	for _, e := range list {
		e.Events = 100
	}
	s := start(t, true, list...)
	resp := s.send(t.Context(), t, http.MethodPost, "/long/stream", "r1")
	source := waitForEngine(t, list, "r1")
	time.Sleep(100 * time.Millisecond)
	source.LoseAnswers()
	eventually(t, "the stream is resumed elsewhere", func() bool {
		for _, e := range list {
			if e != source && e.Generating("r1") {
				return true
			}
		}
		return false
	})
	time.Sleep(50 * time.Millisecond)
	is.True(!source.Generating("r1"))
	got, err := eventIDs(resp)
	is.NoErr(err)
	checkEvents(is, got, 100)
	is.Equal(totalRuns(list, "r1"), 1)
}

// TestCallerLeaves guards against engines that keep generating for a caller who has disconnected.
func TestCallerLeaves(t *testing.T) {
	list := newEngines(1, 15*time.Millisecond)
	list[0].Events = 1000
	s := start(t, false, list...)
	ctx, cancel := context.WithCancel(t.Context())
	resp := s.send(ctx, t, http.MethodPost, "/long/stream", "r1")
	defer resp.Body.Close()
	waitForEngine(t, list, "r1")
	cancel()
	begun := time.Now()
	eventually(t, "the engine sees the disconnect", func() bool { return list[0].CallerDisconnected("r1") })
	if d := time.Since(begun); d > 500*time.Millisecond {
		t.Fatalf("the engine kept generating for %v after the caller disconnected", d)
	}
}

// TestSurgeOfLongWork guards against a surge of long generations that takes the room of short and urgent ones.
func TestSurgeOfLongWork(t *testing.T) {
	is := is.New(t)
	list := newEngines(1, 20*time.Millisecond)
	list[0].Events = 60
	s := start(t, false, list...)
	for i := range 12 { // forecast of 1,018 tokens each; the engine holds 10,000
		go func() {
			resp := s.send(context.WithoutCancel(t.Context()), t, http.MethodPost, "/long/stream", "long"+string(rune('a'+i)))
			body(resp)
		}()
	}
	eventually(t, "the engine is in use", func() bool { return list[0].AttemptCount() >= 3 })
	time.Sleep(50 * time.Millisecond)
	resp := s.send(t.Context(), t, http.MethodPost, "/short/stream", "short")
	got, err := eventIDs(resp)
	is.NoErr(err)
	checkEvents(is, got, 60)
	eventually(t, "all long ones end", func() bool { return s.gate.Meter.OpenCalls.Load() == 0 })
}

// TestTooLarge guards against a call that waits although its prompt exceeds the memory of any engine.
func TestTooLarge(t *testing.T) {
	is := is.New(t)
	list := newEngines(1, 5*time.Millisecond)
	s := start(t, false, list...)
	begun := time.Now()
	resp := s.send(t.Context(), t, http.MethodPost, "/long/stream", "r1", "Snipeshed-Token-Count", "10001,100")
	body(resp)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(time.Since(begun) < 200*time.Millisecond)
}

// TestFullFleet guards against calls that wait until their deadline for room that never becomes free.
func TestFullFleet(t *testing.T) {
	is := is.New(t)
	list := newEngines(1, 5*time.Millisecond)
	s := start(t, false, list...)
	list[0].SetNoRoom(true)
	begun := time.Now()
	resp := s.send(t.Context(), t, http.MethodPost, "/short/stream", "r1", "Snipeshed-Token-Count", "9000,100")
	body(resp)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(time.Since(begun) < time.Second) // the route's latency objective
	is.Equal(totalRuns(list, "r1"), 0)       // as the refusal says
	eventually(t, "the refusal is logged", func() bool { return strings.Contains(s.log.String(), "msg=refused") })
}

// TestLateCallKeepsWaiting guards against a long call that is refused as soon as it can no longer meet its objective, although
// room becomes free soon after, as in a surge that lasts longer than the objective.
func TestLateCallKeepsWaiting(t *testing.T) {
	is := is.New(t)
	list := newEngines(1, 5*time.Millisecond)
	s := start(t, false, list...)
	fullUntil := time.Now().Add(1200 * time.Millisecond) // the objective is 1 s
	s.loads.ReplacePeer(time.Now(), fullUntil, "peer", map[core.EndpointID]tally.Load{"lm-1": {Calls: 8, Tokens: 9900}})
	resp := s.send(t.Context(), t, http.MethodPost, "/long/stream", "r1")
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusOK)
}

// TestInTimeBeforeLate guards against calls that are already late and take the room of calls that can still meet their objective,
// as at the end of a surge of long generations.
func TestInTimeBeforeLate(t *testing.T) {
	is := is.New(t)
	list := newEngines(1, 50*time.Millisecond)
	list[0].Events = 100
	s := start(t, false, list...)
	s.reportPeerCalls(8) // as many as the engine has slots
	late := make(chan int, 1)
	go func() {
		resp := s.send(t.Context(), t, http.MethodPost, "/long/stream", "late")
		resp.Body.Close()
		late <- resp.StatusCode
	}()
	time.Sleep(900 * time.Millisecond) // the objective is 1 s
	inTime := make(chan int, 1)
	go func() {
		resp := s.send(t.Context(), t, http.MethodPost, "/long/stream", "soon")
		inTime <- resp.StatusCode
		body(resp)
	}()
	time.Sleep(100 * time.Millisecond)
	s.reportPeerCalls(7)
	is.Equal(<-inTime, http.StatusOK)
	is.Equal(<-late, http.StatusServiceUnavailable) // refused after two fifths of its timeout
	is.Equal(totalRuns(list, "late"), 0)
}

// TestReturningCallerYields guards against callers that were refused in a surge, come back too late for their objective, and take the
// room of calls that can still meet theirs.
func TestReturningCallerYields(t *testing.T) {
	is := is.New(t)
	const returning = 4
	list := newEngines(1, 50*time.Millisecond)
	list[0].Events = 100
	s := start(t, false, list...)
	s.reportPeerCalls(8) // as many as the engine has slots
	status := make(chan int, returning)
	for n := range returning {
		go func() {
			resp := s.send(t.Context(), t, http.MethodPost, "/long/stream", fmt.Sprint("back", n), "Snipeshed-Deadline-Ms", "2500")
			resp.Body.Close()
			status <- resp.StatusCode
		}()
	}
	time.Sleep(100 * time.Millisecond)
	inTime := make(chan int, 1)
	go func() {
		resp := s.send(t.Context(), t, http.MethodPost, "/long/stream", "soon")
		inTime <- resp.StatusCode
		body(resp)
	}()
	eventually(t, "the call in time waits", func() bool {
		own, _ := s.loads.WaitingCalls(time.Now())
		return own == 1
	})
	s.reportPeerCalls(7)
	is.Equal(<-inTime, http.StatusOK)
	for range returning {
		is.Equal(<-status, http.StatusServiceUnavailable)
	}
}

// TestLargePromptIsLateSooner guards against calls that get room too late for their prefill to end in time and so displace
// calls that could have met their objective, as in a surge of prompts of all sizes.
func TestLargePromptIsLateSooner(t *testing.T) {
	is := is.New(t)
	list := newEngines(1, 50*time.Millisecond)
	list[0].Events = 100
	s := start(t, false, list...)
	s.reportPeerCalls(8) // as many as the engine has slots
	status := func(attempt, tokens string) chan int {
		out := make(chan int, 1)
		go func() {
			resp := s.send(t.Context(), t, http.MethodPost, "/long/stream", attempt, "Snipeshed-Token-Count", tokens)
			out <- resp.StatusCode
			body(resp)
		}()
		return out
	}
	large, small := status("large", "4000,100"), status("small", "500,100") // 0.84 and 0.19 s of prefill; the objective is 1 s
	time.Sleep(400 * time.Millisecond)
	s.reportPeerCalls(7)
	is.Equal(<-small, http.StatusOK)
	is.Equal(<-large, http.StatusServiceUnavailable)
}

// TestCopyOutlivesSource guards against a stream that is cut although a complete copy of its memory exists: the link of the leaving
// engine is busy, so the copy is made again, and the engine leaves during that.
func TestCopyOutlivesSource(t *testing.T) {
	is := is.New(t)
	list := newEngines(2, 15*time.Millisecond)
	for _, e := range list {
		var moves atomic.Int32
		e.Events = 80
		e.BeforeMove = func() {
			if moves.Add(1) == 1 {
				time.Sleep(100 * time.Millisecond) // longer than a copy that has the link to itself
				return
			}
			go e.Close()
			time.Sleep(200 * time.Millisecond) // the connection closes before the answer
		}
	}
	s := start(t, false, list...)
	resp := s.send(t.Context(), t, http.MethodPost, "/long/stream", "r1")
	source := waitForEngine(t, list, "r1")
	s.markLeaving(source)
	got, err := eventIDs(resp)
	is.NoErr(err)
	checkEvents(is, got, 80)
	is.Equal(totalRuns(list, "r1"), 1)
}
