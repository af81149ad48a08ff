package caller

import (
	"net/http"
	"sync"
	"time"
)

// Group sends requests concurrently. The zero value is ready to use.
type Group struct {
	calls, awaitingTokens sync.WaitGroup
	mu                    sync.Mutex
	results               Results
}

// Go starts a request.
func (g *Group) Go(c *http.Client, address string, q ChatRequest) {
	g.mu.Lock()
	index := len(g.results)
	g.results = append(g.results, Result{})
	g.mu.Unlock()
	g.awaitingTokens.Add(1)
	endTokenWait := sync.OnceFunc(g.awaitingTokens.Done)
	if q.Mark == "" {
		q.Mark = NewMark()
	}
	q.CallbackAt = max(q.CallbackAt, 1)
	callback := q.Callback
	q.Callback = func() {
		endTokenWait()
		if callback != nil {
			callback()
		}
	}
	if q.NonStreaming {
		endTokenWait()
	}
	g.calls.Go(func() {
		defer endTokenWait() // also when the request fails early
		began := time.Now()
		a := Chat(c, address, &q)
		g.mu.Lock()
		defer g.mu.Unlock()
		g.results[index] = Result{ChatRequest: q, Answer: a, Began: began}
	})
}

// AwaitTokens waits until every streamed request has received CallbackAt tokens, at least one, or has ended.
func (g *Group) AwaitTokens() { g.awaitingTokens.Wait() }

// Wait waits for all answers and returns the results in the order of the calls to Go.
func (g *Group) Wait() Results {
	g.calls.Wait()
	return g.results
}
