package caller

import (
	"net/http"
	"sync"
	"time"
)

// Group sends requests at the same time. The zero value is ready.
type Group struct {
	calls, reading sync.WaitGroup
	mu             sync.Mutex
	results        Results
}

// Go sends a request.
func (g *Group) Go(c *http.Client, address string, q Ask) {
	g.mu.Lock()
	i := len(g.results)
	g.results = append(g.results, Result{})
	g.mu.Unlock()
	g.reading.Add(1)
	reads := sync.OnceFunc(g.reading.Done)
	if q.Mark == "" {
		q.Mark = NewMark()
	}
	q.At = max(q.At, 1)
	then := q.Then
	q.Then = func() {
		reads()
		if then != nil {
			then()
		}
	}
	if q.Whole {
		reads()
	}
	g.calls.Go(func() {
		defer reads() // also when it failed early
		began := time.Now()
		a := Chat(c, address, &q)
		g.mu.Lock()
		defer g.mu.Unlock()
		g.results[i] = Result{Ask: q, Answer: a, Began: began}
	})
}

// AwaitTokens waits until every streamed request has got At tokens, or has ended.
func (g *Group) AwaitTokens() { g.reading.Wait() }

// Wait waits for all answers and returns them in the order of the calls of Go.
func (g *Group) Wait() Results {
	g.calls.Wait()
	return g.results
}
