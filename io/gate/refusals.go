package gate

import (
	"sync"
	"time"

	"snipeshed/core"
)

// refusalReportTime is how long a refused connection is reported to other instances.
const refusalReportTime = 600 * time.Millisecond

// refusals records when endpoints last refused a connection.
type refusals struct {
	mu     sync.Mutex
	lastAt map[core.EndpointID]time.Time
}

func newRefusals() *refusals { return &refusals{lastAt: map[core.EndpointID]time.Time{}} }

func (r *refusals) add(now time.Time, id core.EndpointID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastAt[id] = now
}

func (r *refusals) list(now time.Time) []core.EndpointID {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []core.EndpointID
	for id, at := range r.lastAt {
		if now.Sub(at) > refusalReportTime {
			delete(r.lastAt, id)
			continue
		}
		out = append(out, id)
	}
	return out
}
