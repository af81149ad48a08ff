package main

import "sync"

// runLog holds the runs of each request, by attempt.
type runLog struct {
	mu   sync.Mutex
	runs map[string][]string
}

func (l *runLog) add(attempt, runner string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[attempt] = append(l.runs[attempt], runner)
}

func (l *runLog) of(attempt string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[attempt]
}
