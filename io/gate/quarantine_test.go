package gate_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/stand/plat"
	"snipeshed/stand/revs"
)

const (
	badParts   = "a1:800,bad:40,"
	soundParts = "a1:800,b2:40,"
)

// crashOnPart returns engines that crash when they begin to answer a prompt with the part "bad", and generate otherwise.
func crashOnPart(n int) []*plat.Engine {
	var out []*plat.Engine
	for i := range n {
		e := plat.NewEngine(fmt.Sprintf("lm-%d", i+1))
		e.CrashPart = "bad"
		out = append(out, e)
	}
	return out
}

// startTotal returns the number of requests with an attempt that reached the engines.
func startTotal(engines []*plat.Engine, attempt string) int {
	n := 0
	for _, e := range engines {
		n += e.StartCount(attempt)
	}
	return n
}

// sendPrompt sends a stream whose prompt has the given parts and one part of its own, and returns the status and the number of
// events.
func (s *system) sendPrompt(t *testing.T, path, attempt, parts string) (int, int) {
	t.Helper()
	r := s.send(context.Background(), t, "POST", path, attempt, "Snipeshed-Prompt-Prefix", parts+attempt+":160")
	ids, _ := eventIDs(r) // a stream that broke off has fewer events
	return r.StatusCode, len(ids)
}

// TestCrashingPrompt guards against requests with a prompt part that crashes engines and that are sent to one engine after
// another, and against refusing the sound requests which share their other parts.
func TestCrashingPrompt(t *testing.T) {
	const engineCount, allowedCrashes = 12, 5
	for _, path := range []string{"/long/stream", "/short/stream"} {
		for _, backups := range []bool{false, true} {
			t.Run(fmt.Sprint(path, " backups=", backups), func(t *testing.T) {
				is := is.New(t)
				engines := crashOnPart(engineCount)
				s := start(t, backups, engines...)
				for i := range 3 {
					s.sendPrompt(t, path, fmt.Sprint("first", i), badParts)
					status, events := s.sendPrompt(t, path, fmt.Sprint("sound", i), soundParts)
					is.Equal(status, http.StatusOK)
					is.Equal(events, 20)
				}
				time.Sleep(1200 * time.Millisecond) // a part is observed for 1 s before requests with it are refused
				for i := range 6 {
					attempt := fmt.Sprint("later", i)
					status, _ := s.sendPrompt(t, path, attempt, badParts)
					is.Equal(status, http.StatusServiceUnavailable)
					is.Equal(startTotal(engines, attempt), 0) // not sent
				}
				status, events := s.sendPrompt(t, path, "sound", soundParts)
				is.Equal(status, http.StatusOK)
				is.Equal(events, 20)
				crashed := 0
				for _, e := range engines {
					if e.Crashed() {
						crashed++
					}
				}
				is.True(crashed <= allowedCrashes)
			})
		}
	}
}

// TestLostAnswersAreNoCrashes guards against quarantining a part because single answers broke off at engines that still run.
func TestLostAnswersAreNoCrashes(t *testing.T) {
	is := is.New(t)
	engines := crashOnPart(6)
	for _, e := range engines {
		e.CrashPart = ""
		e.StreamHandler = func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
	s := start(t, false, engines...)
	for i := range 5 {
		status, _ := s.sendPrompt(t, "/long/stream", fmt.Sprint("lost", i), soundParts)
		is.Equal(status, http.StatusBadGateway)
	}
	time.Sleep(1200 * time.Millisecond)
	status, _ := s.sendPrompt(t, "/long/stream", "sent", soundParts)
	is.Equal(status, http.StatusBadGateway)
	is.Equal(startTotal(engines, "sent"), 1)
}

// TestReleasePending guards against a request that waits at an engine, or for room, while a part of its prompt is quarantined:
// it must be ended and its connection closed before the engine begins to answer. Sound requests with its other parts stay. The engine may
// have crashed on it already, which must not seem to be due to the sound ones.
func TestReleasePending(t *testing.T) {
	is := is.New(t)
	e := plat.NewEngine("lm-1")
	left := make(chan string, 1)
	e.StreamHandler = func(_ http.ResponseWriter, r *http.Request) {
		attempt := r.Header.Get("Snipeshed-Attempt-Id")
		select {
		case <-r.Context().Done():
			left <- attempt
		case <-time.After(2500 * time.Millisecond):
		}
	}
	s := start(t, false, e)
	results := make(chan int, 2)
	for _, q := range []struct{ attempt, parts string }{{"pending", badParts}, {"sound", soundParts}} {
		go func() {
			status, _ := s.sendPrompt(t, "/long/stream", q.attempt, q.parts)
			results <- status
		}()
	}
	eventually(t, "both are at the engine", func() bool { return e.StartCount("pending")+e.StartCount("sound") == 2 })
	began := time.Now()
	for i := range 3 {
		p := core.Incarnation{ID: "other", Started: int64(i)}
		s.blame.RecordCrash(began.Add(time.Duration(i-12)*100*time.Millisecond), p, []core.PromptPart{"bad"})
	}
	s.gate.EndQuarantined(time.Now())
	is.Equal(<-results, http.StatusBadGateway) // the engine may have run it
	is.Equal(<-left, "pending")
	is.True(time.Since(began) < time.Second)
	is.True(s.blame.HasLosses(core.Incarnation{ID: "lm-1", Started: 1})) // evidence if the engine turns out to have crashed on it
	eventually(t, "the quarantine is logged", func() bool { return s.logged("msg=quarantined") })
	is.True(s.logged("part=bad"))
	is.True(<-results != http.StatusServiceUnavailable)
}

// TestRestartNoticedLate guards against ending a stream that an engine's later process is about to answer, because the news of its start
// comes after the request.
func TestRestartNoticedLate(t *testing.T) {
	is := is.New(t)
	e := plat.NewEngine("lm-1")
	e.HoldHeads(300 * time.Millisecond)
	s := start(t, false, e)
	results := make(chan int, 1)
	go func() {
		status, events := s.sendPrompt(t, "/long/stream", "r1", soundParts)
		results <- status + events
	}()
	eventually(t, "it is at the engine", func() bool { return e.StartCount("r1") == 1 })
	later := fmt.Appendf(nil, `{"service":"lm","address":%q,"zone":"d1","slots":8,"state":"ready","born":2}`, e.Address())
	s.news.ChangeEndpoint(revs.At(2), e.ID, later)
	is.Equal(<-results, http.StatusOK+20)
}
