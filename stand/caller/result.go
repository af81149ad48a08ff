package caller

import (
	"fmt"
	"net/http"
	"time"
)

// Result is a request with its answer.
type Result struct {
	ChatRequest
	Answer

	Began time.Time
}

// CheckCompleteOrNotRun returns an error unless the answer is complete or a refusal as not_run.
func (r Result) CheckCompleteOrNotRun() error {
	if r.NotRun() {
		return nil
	}
	return r.CheckComplete(r.ChatRequest)
}

// outcome returns a label for how the request ended.
func (r Result) outcome() string {
	switch {
	case r.TransportErr != nil:
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

// CountByOutcome counts the results by how they ended: "complete", "broken" for a failed connection, an error's kind and run, or
// a status.
func (rs Results) CountByOutcome() map[string]int {
	counts := map[string]int{}
	for _, r := range rs {
		counts[r.outcome()]++
	}
	return counts
}

// Errors applies a check to each result and returns its errors.
func (rs Results) Errors(check func(Result) error) (errs []error) {
	for _, r := range rs {
		if err := check(r); err != nil {
			errs = append(errs, err)
		}
	}
	return errs
}

// CountNotRun returns the number of requests that were refused as not_run.
func (rs Results) CountNotRun() int {
	n := 0
	for _, r := range rs {
		if r.NotRun() {
			n++
		}
	}
	return n
}

// BeganSince returns the results of requests that began at or after a time.
func (rs Results) BeganSince(at time.Time) (out Results) {
	for _, r := range rs {
		if !r.Began.Before(at) {
			out = append(out, r)
		}
	}
	return out
}

// LongestGapAndDuration returns the longest gap between two tokens and the longest duration of a request.
func (rs Results) LongestGapAndDuration() (gap, took time.Duration) {
	for _, r := range rs {
		gap, took = max(gap, r.LongestGap), max(took, r.Duration)
	}
	return gap, took
}

// CheckComplete returns an error unless the result's answer is complete.
func CheckComplete(r Result) error { return r.CheckComplete(r.ChatRequest) }

// CheckCompleteOrError returns an error unless the result's answer is complete or ends with an error that states the right
// number of delivered tokens.
func CheckCompleteOrError(r Result) error { return r.CheckCompleteOrError(r.ChatRequest) }
