package gate

import (
	"sync"
	"time"

	"snipeshed/core"
)

// streamRegistry holds the open streams of each endpoint, including those whose backup it keeps, and when they were sent there.
type streamRegistry struct {
	mu         sync.Mutex
	byEndpoint map[core.EndpointID]map[*stream]time.Time
	// oldest holds, for each endpoint whose process was last replaced while it was silent, when its oldest stream was sent.
	oldest map[core.EndpointID]time.Time
}

func newStreamRegistry() *streamRegistry {
	return &streamRegistry{byEndpoint: map[core.EndpointID]map[*stream]time.Time{}, oldest: map[core.EndpointID]time.Time{}}
}

func (r *streamRegistry) add(id core.EndpointID, s *stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byEndpoint[id] == nil {
		r.byEndpoint[id] = map[*stream]time.Time{}
	}
	r.byEndpoint[id][s] = time.Now()
}

func (r *streamRegistry) remove(id core.EndpointID, s *stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byEndpoint[id], s)
	if len(r.byEndpoint[id]) == 0 {
		delete(r.byEndpoint, id)
		delete(r.oldest, id)
	}
}

// notifyQuarantine tells all streams that the quarantined parts may have changed.
func (r *streamRegistry) notifyQuarantine() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, streams := range r.byEndpoint {
		for s := range streams {
			select {
			case s.quarantineNotice <- struct{}{}:
			default:
			}
		}
	}
}

// notify sends a notice to the streams of an endpoint that is leaving or unreachable, and returns their number.
func (r *streamRegistry) notify(id core.EndpointID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s := range r.byEndpoint[id] {
		select {
		case s.endpointNotice <- struct{}{}:
		default:
		}
	}
	return len(r.byEndpoint[id])
}

// notifyReplaced notifies the streams of an endpoint that another process has taken the place of the endpoint's process.
func (r *streamRegistry) notifyReplaced(id core.EndpointID) {
	r.mu.Lock()
	oldest := time.Now()
	for _, sentAt := range r.byEndpoint[id] {
		if sentAt.Before(oldest) {
			oldest = sentAt
		}
	}
	r.oldest[id] = oldest
	r.mu.Unlock()
	r.notify(id)
}

// oldestAt returns when the oldest stream of a replaced endpoint was sent there.
func (r *streamRegistry) oldestAt(id core.EndpointID) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.oldest[id]
}
