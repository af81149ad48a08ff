package gate_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/tally"
	"snipeshed/io/event"
	"snipeshed/io/trace"
	"snipeshed/stand/plat"
)

// logLine waits for the log line of one event kind about a request and returns it.
func (s *system) logLine(t *testing.T, id core.AttemptID, k event.Kind) trace.Line {
	t.Helper()
	var found trace.Line
	eventually(t, "the log has a line of the event", func() bool {
		got, err := trace.Read(strings.NewReader(s.log.String()), id)
		if err != nil {
			t.Fatal(err)
		}
		for _, l := range got.Lines {
			if l.Event == k {
				found = l
				if err := got.Write(t.Output()); err != nil {
					t.Error(err)
				}
				return true
			}
		}
		return false
	})
	return found
}

// TestExplainRefusal guards against logs that do not show why a call was refused although the service has engines.
func TestExplainRefusal(t *testing.T) {
	is := is.New(t)
	list := newEngines(2, 5*time.Millisecond)
	s := start(t, false, list...)
	s.markLeaving(list[0])
	s.loads.AddOwn("lm-2", tally.Load{Calls: 1, Tokens: 8000})
	resp := s.send(t.Context(), t, http.MethodPost, "/long/stream", "r1")
	body(resp)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	l := s.logLine(t, "r1", event.Refused)
	is.Equal(l.Fields["endpoints"], "2")
	is.Equal(l.Fields["leaving"], "1")
	is.Equal(l.Fields["room"], "0")
	is.Equal(l.Fields["least_share"], "0.90") // long generations may fill 0.72
}

// TestExplainCut guards against logs that do not show why a stream was cut.
func TestExplainCut(t *testing.T) {
	is := is.New(t)
	list := newEngines(2, 15*time.Millisecond)
	s := start(t, false, list...)
	resp := s.send(t.Context(), t, http.MethodPost, "/long/stream", "r1")
	e := waitForEngine(t, list, "r1")
	for _, other := range list {
		other.SetNoRoom(other != e)
	}
	time.Sleep(50 * time.Millisecond)
	s.markLeaving(e)
	time.Sleep(100 * time.Millisecond)
	e.Close()
	_, err := eventIDs(resp)
	is.True(err != nil)
	is.Equal(s.logLine(t, "r1", event.Moving).Fields["cause"], "the endpoint leaves")
	is.True(strings.Contains(s.logLine(t, "r1", event.Copied).Fields["error"], "no room"))
	is.Equal(s.logLine(t, "r1", event.Cut).Fields["endpoint"], e.ID)
	got, err := trace.Read(strings.NewReader(s.log.String()), "r1")
	is.NoErr(err)
	is.True(len(got.Context) > 0) // the notice that the engine leaves
}

// TestExplainUnknownOutcome guards against logs that do not show why the outcome of a protected call is unknown.
func TestExplainUnknownOutcome(t *testing.T) {
	is := is.New(t)
	e := plat.NewEngine("app-a")
	e.CallHandler = func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	s := start(t, false, e)
	resp := s.send(t.Context(), t, http.MethodPost, "/book/1", "r1")
	body(resp)
	is.Equal(resp.StatusCode, http.StatusBadGateway)
	l := s.logLine(t, "r1", event.Failed)
	is.Equal(l.Fields["endpoint"], "app-a")
	is.True(strings.Contains(l.Fields["reason"], "may have run"))
}
