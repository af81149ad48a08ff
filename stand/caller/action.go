package caller

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"snipeshed/stand/fleet"
)

// SendAction sends a protected action to the fleet's application service with an idempotency key.
func SendAction(c *http.Client, address, key string, timeout time.Duration) Answer {
	resp, err := Post(c, address, fleet.UrgentKey, "/services/"+fleet.AppService+"/orders/paint", []byte(`{"liters":4}`), map[string]string{
		"Idempotency-Key": key, "Snipeshed-Timeout-Ms": strconv.FormatInt(timeout.Milliseconds(), 10),
	})
	if err != nil {
		return Answer{TransportErr: err}
	}
	defer resp.Body.Close()
	return ReadNonStreaming(resp)
}

// CallIdempotent sends an idempotent call to the fleet's application service.
func CallIdempotent(c *http.Client, address string, timeout time.Duration) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/services/"+fleet.AppService+"/free", nil)
	if err != nil {
		return Answer{TransportErr: err}
	}
	r.Header.Set("Authorization", "Bearer "+fleet.UrgentKey)
	resp, err := c.Do(r)
	if err != nil {
		return Answer{TransportErr: err}
	}
	defer resp.Body.Close()
	return ReadNonStreaming(resp)
}

// CheckRuns checks the answers to the calls with one idempotency key against the runs that the application counted: at most
// one run, none when all answers said not_run, and one when any answer was a result.
func CheckRuns(key string, runs int64, answers []Answer) error {
	succeeded, notRun := 0, 0
	for _, a := range answers {
		switch {
		case a.TransportErr == nil && a.Status == http.StatusOK:
			succeeded++
		case a.NotRun():
			notRun++
		}
	}
	switch {
	case runs > 1:
		return fmt.Errorf("key %s ran %d times: %v", key, runs, answers)
	case succeeded > 0 && runs == 0:
		return fmt.Errorf("key %s has a result but did not run: %v", key, answers)
	case len(answers) > 0 && notRun == len(answers) && runs > 0:
		return fmt.Errorf("key %s ran although every answer said not_run: %v", key, answers)
	}
	return nil
}
