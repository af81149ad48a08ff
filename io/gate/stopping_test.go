package gate_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/stand/plat"
)

// TestAnsweredBeforeStop guards against calls that are cut off without an answer at the end of a planned stop, because their endpoints
// still work on them.
func TestAnsweredBeforeStop(t *testing.T) {
	const stopAfter = 600 * time.Millisecond
	for _, tt := range []struct {
		name, path string
	}{
		{"may run once", "/book/r1"},
		{"may run twice", "/look/r1"},
		{"stream without events", "/long/stream"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			list := append(newEngines(1, 2*time.Second), plat.NewEngine("app-1"), plat.NewEngine("app-2"))
			for _, e := range list[1:] {
				e.CallHandler = func(_ http.ResponseWriter, r *http.Request) {
					select {
					case <-r.Context().Done():
					case <-time.After(2 * time.Second):
					}
				}
			}
			s := start(t, false, list...)
			begun := time.Now()
			time.AfterFunc(50*time.Millisecond, func() { s.gate.SetStopTime(begun.Add(stopAfter)) })
			resp := s.send(t.Context(), t, http.MethodPost, tt.path, "r1")
			body(resp)
			is.True(time.Since(begun) < stopAfter)
			is.Equal(resp.StatusCode, http.StatusGatewayTimeout) // it may have run
		})
	}
}

// TestLateInStop guards against calls that are taken late in a planned stop although they may not be answered before its end: one that
// may run once only is refused while its caller can still send it to another instance.
func TestLateInStop(t *testing.T) {
	is := is.New(t)
	app := plat.NewEngine("app-1")
	s := start(t, false, app)
	s.gate.SetStopTime(time.Now().Add(1150 * time.Millisecond)) // the route's timeout is 1 s
	resp := s.send(t.Context(), t, http.MethodPost, "/book/r1", "r1")
	body(resp)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(app.StartCount("r1"), 0) // as the refusal says
}

// TestStreamLateInStop guards against streams that are taken in a planned stop although their deadline is after its end: they were cut off
// in the middle of their answers.
func TestStreamLateInStop(t *testing.T) {
	const left = 3500 * time.Millisecond // until the calls must have ended
	for _, tt := range []struct {
		name, path string
		deadlineMS string
		served     bool
	}{
		{"resumable, ends in time", "/short/stream", "3000", true},
		{"resumable, may end too late", "/short/stream", "5000", false},
		{"not resumable", "/long/stream", "3000", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			list := newEngines(1, time.Millisecond)
			s := start(t, false, list...)
			s.news.UpdateConfig([]byte(strings.Replace(fmt.Sprintf(configFormat, 2, false), `"timeout_ms":3000`, `"timeout_ms":5000`, 1)), "test")
			s.gate.SetStopTime(time.Now().Add(left + 200*time.Millisecond))
			resp := s.send(t.Context(), t, http.MethodPost, tt.path, "r1", "Snipeshed-Deadline-Ms", tt.deadlineMS)
			body(resp)
			is.Equal(resp.StatusCode == http.StatusOK, tt.served)
			if !tt.served {
				is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
				is.Equal(totalRuns(list, "r1"), 0) // as the refusal says
			}
		})
	}
}

// TestWaitingStreamInStop guards against streams that wait for room when a planned stop begins, are sent to an engine later and cut off
// at the end of the stop.
func TestWaitingStreamInStop(t *testing.T) {
	is := is.New(t)
	list := newEngines(1, 50*time.Millisecond)
	s := start(t, false, list...)
	s.reportPeerCalls(8)
	time.AfterFunc(200*time.Millisecond, func() { s.gate.SetStopTime(time.Now().Add(2 * time.Second)) })
	time.AfterFunc(400*time.Millisecond, func() { s.reportPeerCalls(0) })
	begun := time.Now()
	resp := s.send(t.Context(), t, http.MethodPost, "/long/stream", "r1")
	body(resp)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(totalRuns(list, "r1"), 0)
	is.True(time.Since(begun) < 400*time.Millisecond) // its caller need not wait any longer
}
