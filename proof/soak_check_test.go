package proof_test

import (
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"snipeshed/stand/plat"
)

const (
	// soakOverlap is the time for which two engines may work on a generation.
	soakOverlap = 400 * time.Millisecond
	// soakAttempts is the number of engines at which a call may run: max_attempts of the routes.
	soakAttempts = 2
)

// checkCalls checks that no call ran twice, that no refused call ran, that planned work lost none and that at least a quarter succeeded.
func (s *soakRun) checkCalls() {
	s.mu.Lock()
	defer s.mu.Unlock()
	engines := slices.Concat(slices.Collect(maps.Values(s.engines)), s.stoppedEngines)
	served, lost := 0, 0
	for _, c := range s.calls {
		runs := 0
		for _, e := range engines {
			runs += e.StartCount(c.attempt)
		}
		switch {
		case c.status == http.StatusServiceUnavailable && runs > 0, !c.idempotent && runs > 1, runs > soakAttempts:
			s.t.Errorf("%s: status %d, but engines ran it %d times:\n%s", c.attempt, c.status, runs, s.logOf(c.attempt))
		case c.status == 0 && runs > 0 && s.plannedOnly:
			s.t.Errorf("%s: an engine ran it, but its caller got no answer, or not all of it:\n%s", c.attempt, s.logOf(c.attempt))
			lost++
		}
		if c.status == http.StatusOK {
			served++
		}
		s.checkOverlap(c, engines)
	}
	if served*4 < len(s.calls) {
		s.t.Errorf("%d of %d calls succeeded", served, len(s.calls))
	}
	s.t.Logf("%d of %d calls succeeded, %d were lost", served, len(s.calls), lost)
}

// checkOverlap checks that no two engines worked on a generation at the same time for longer than soakOverlap. Engines that
// a fault of their link or of their instance cut off can't be told to stop, so that this holds in planned work only.
func (s *soakRun) checkOverlap(c soakCall, engines []*plat.Engine) {
	var runs []plat.Run
	for _, e := range engines {
		runs = append(runs, e.Runs(c.attempt)...)
	}
	for i, r := range runs {
		for _, before := range runs[:i] {
			if d := plat.Overlap(before, r); d > soakOverlap && s.plannedOnly {
				s.t.Errorf("%s was worked on at two engines for %v:\n%s", c.attempt, d, s.logOf(c.attempt))
			}
		}
	}
}

// logOf returns the lines of all instances that name an attempt, and those on stops.
func (s *soakRun) logOf(attempt string) string {
	var out []string
	for _, inst := range s.instances {
		b, err := os.ReadFile(s.logPath(inst))
		if err != nil {
			return err.Error()
		}
		for line := range strings.Lines(string(b)) {
			if strings.Contains(line+" ", "request="+attempt+" ") || strings.Contains(line, "msg=sto") || strings.Contains(line, "msg=cut") {
				out = append(out, line)
			}
		}
	}
	slices.Sort(out) // by time
	return strings.Join(out, "")
}

// soakWorkTime is the time that an application takes for a call: mostly some ms, at times longer than an instance would wait before it
// stops.
func soakWorkTime(r *http.Request) time.Duration {
	n := 0
	for _, b := range []byte(r.Header.Get("Snipeshed-Attempt-Id")) {
		n = (31*n + int(b)) % 1009
	}
	if n%25 == 0 {
		return 1300 * time.Millisecond
	}
	return time.Duration(n%30) * time.Millisecond
}
