package caller

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"snipeshed/stand/fleet"
)

// Act sends a protected action of the fleet's application service with an idempotency key.
func Act(c *http.Client, address, key string, timeout time.Duration) Answer {
	resp, err := Post(c, address, fleet.UrgentKey, "/services/"+fleet.AppService+"/orders/paint", []byte(`{"liters":4}`), map[string]string{
		"Idempotency-Key": key, "Snipeshed-Timeout-Ms": strconv.FormatInt(timeout.Milliseconds(), 10),
	})
	if err != nil {
		return Answer{Broken: err}
	}
	defer resp.Body.Close()
	return ReadWhole(resp)
}

// Get makes an idempotent call of the fleet's application service.
func Get(c *http.Client, address string, timeout time.Duration) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/services/"+fleet.AppService+"/free", nil)
	if err != nil {
		return Answer{Broken: err}
	}
	r.Header.Set("Authorization", "Bearer "+fleet.UrgentKey)
	resp, err := c.Do(r)
	if err != nil {
		return Answer{Broken: err}
	}
	defer resp.Body.Close()
	return ReadWhole(resp)
}

// CheckRuns checks the answers to one key's calls against the runs that the application counted: at most one run, none
// when all were told not_run, and one when a result was told.
func CheckRuns(key string, runs int64, answers []Answer) error {
	told, notRun := 0, 0
	for _, a := range answers {
		switch {
		case a.Broken == nil && a.Status == http.StatusOK:
			told++
		case a.NotRun():
			notRun++
		}
	}
	switch {
	case runs > 1:
		return fmt.Errorf("key %s ran %d times: %v", key, runs, answers)
	case told > 0 && runs == 0:
		return fmt.Errorf("key %s has a result but did not run: %v", key, answers)
	case len(answers) > 0 && notRun == len(answers) && runs > 0:
		return fmt.Errorf("key %s ran although every client was told that it did not: %v", key, answers)
	}
	return nil
}
