package gate

import (
	"sync"
	"time"

	"snipeshed/core"
)

// refusalSpan is how long the refusal of a connection is told to other instances.
const refusalSpan = 600 * time.Millisecond

// refusing remembers the endpoints that refused a connection.
type refusing struct {
	mu sync.Mutex
	at map[core.EndpointID]time.Time
}

func newRefusing() *refusing { return &refusing{at: map[core.EndpointID]time.Time{}} }

func (r *refusing) add(now time.Time, id core.EndpointID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.at[id] = now
}

func (r *refusing) list(now time.Time) []core.EndpointID {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []core.EndpointID
	for id, at := range r.at {
		if now.Sub(at) > refusalSpan {
			delete(r.at, id)
			continue
		}
		out = append(out, id)
	}
	return out
}
