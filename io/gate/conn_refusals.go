package gate

import (
	"sync"
	"time"

	"snipeshed/core"
)

// refusalReportTime is how long a refused connection to an endpoint is reported to other instances.
const refusalReportTime = 600 * time.Millisecond

// connRefusals records when each endpoint last refused a connection.
type connRefusals struct {
	mu     sync.Mutex
	lastAt map[core.EndpointID]time.Time
}

func newConnRefusals() *connRefusals { return &connRefusals{lastAt: map[core.EndpointID]time.Time{}} }

func (r *connRefusals) add(now time.Time, id core.EndpointID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastAt[id] = now
}

func (r *connRefusals) list(now time.Time) []core.EndpointID {
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
