package caller

import (
	"fmt"
	"net/http"
	"time"
)

// Result is a request with its answer.
type Result struct {
	Ask
	Answer

	Began time.Time
}

// Verify returns an error unless the answer is complete or refused with the proof that the request was not run.
func (r Result) Verify() error {
	if r.NotRun() {
		return nil
	}
	return r.Complete(r.Ask)
}

// kind names how the request ended, for counts.
func (r Result) kind() string {
	switch {
	case r.Broken != nil:
		return "broken"
	case r.Err != nil:
		return string(r.Err.Kind) + " " + string(r.Err.Run)
	case r.Status != http.StatusOK:
		return fmt.Sprintf("status %d", r.Status)
	}
	return "complete"
}

// Results are requests with their answers.
type Results []Result

// Kinds counts the results by how they ended: "complete", "broken", or an error's kind and run.
func (rs Results) Kinds() map[string]int {
	kinds := map[string]int{}
	for _, r := range rs {
		kinds[r.kind()]++
	}
	return kinds
}

// Check applies a check to each result and returns the errors.
func (rs Results) Check(check func(Result) error) (errs []error) {
	for _, r := range rs {
		if err := check(r); err != nil {
			errs = append(errs, err)
		}
	}
	return errs
}

// Refused returns how many were told not_run.
func (rs Results) Refused() int {
	n := 0
	for _, r := range rs {
		if r.NotRun() {
			n++
		}
	}
	return n
}

// Since returns the results of requests that began at or after a time.
func (rs Results) Since(at time.Time) (out Results) {
	for _, r := range rs {
		if !r.Began.Before(at) {
			out = append(out, r)
		}
	}
	return out
}

// Longest returns the longest gap between two tokens and the longest time of a request.
func (rs Results) Longest() (gap, took time.Duration) {
	for _, r := range rs {
		gap, took = max(gap, r.Gap), max(took, r.Took)
	}
	return gap, took
}

// IsComplete is a check for answers that must be complete.
func IsComplete(r Result) error { return r.Complete(r.Ask) }

// IsHonest is a check for answers that may end with a typed error that says how much was delivered.
func IsHonest(r Result) error { return r.Honest(r.Ask) }
