package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// bookings is the number of bookings, and failEvery the share of the requests that fail at one of three runners.
	bookings  = 60
	failEvery = 3
	// maxBookingAttempts is the number of attempts of a caller: the first, and one more after a promise that the first has not run.
	maxBookingAttempts = 2
	bookingDeadline    = 1500 // ms
)

// runRefused sends bookings while one runner fails a part of them after it has run them. The callers repeat a booking only after a status
// that promises that it has not run.
func runRefused(l *lab) error {
	l.configure(true)
	every := 0
	if l.troubled {
		every = failEvery
	}
	if err := l.startRunners(appService, 3, every); err != nil {
		return err
	}
	if err := l.startInstances(3); err != nil {
		return err
	}
	time.Sleep(2 * time.Second) // the instances find each other
	var g sync.WaitGroup
	var mu sync.Mutex
	refused := map[string]int{} // status of refused attempts
	for n := range bookings {
		time.Sleep(100 * time.Millisecond)
		g.Go(func() {
			for attempt := range maxBookingAttempts {
				id := fmt.Sprintf("b%03d%012x", n, attempt)
				status, err := l.book(l.instances[(n+attempt)%len(l.instances)], id, fmt.Sprintf("b%03d", n))
				l.record("caller of %s: status %d %v", id, status, err)
				if !promisesNotRun(status) {
					return
				}
				mu.Lock()
				refused[id] = status
				mu.Unlock()
			}
		})
	}
	g.Wait()
	time.Sleep(100 * time.Millisecond) // the runners' last reports arrive
	return l.judgeRefused(refused)
}

// promisesNotRun reports whether a status promises that a request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// book sends one attempt at a booking on a new connection and returns the status of its answer.
func (l *lab) book(inst *instance, id, booking string) (int, error) {
	c, err := net.Dial("tcp", inst.client)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	request := withHeaders(head(plainPath, id, bookingDeadline, 10, 0, "close"), headerBooking+": "+booking+"\r\n")
	if _, err := c.Write([]byte(request)); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	return resp.StatusCode, nil
}

// judgeRefused checks REFUSED: a request that is not idempotent is answered 429 or 503 (or 408, 421) and has run.
func (l *lab) judgeRefused(refused map[string]int) error {
	broken := 0
	for id, status := range refused {
		for _, r := range l.runners {
			if !r.hasRun(id) {
				continue
			}
			broken++
			l.record("REFUSED: %s was answered %d and has run at %s", id, status, r.id)
		}
	}
	if broken > 0 {
		return fmt.Errorf("%w: %d refused requests had run", errBroken, broken)
	}
	return nil
}

// hasRun reports whether the runner has run an attempt.
func (r *runnerProcess) hasRun(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ran[id]
}
