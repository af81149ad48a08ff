package dial

import (
	"slices"
	"time"
)

// sweepInterval is the time between two checks of the idle connections. A connection that is checked only before its next
// use may stay open for long while the endpoint fills its receive buffer.
const sweepInterval = 200 * time.Millisecond

// scheduleSweep schedules the next check unless one is scheduled; the caller holds d.mu.
func (d *Client) scheduleSweep() {
	if d.sweep == nil {
		d.sweep = time.AfterFunc(sweepInterval, d.sweepIdle)
	}
}

// sweepIdle closes the idle connections that cannot be used again.
func (d *Client) sweepIdle() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sweep = nil
	now := time.Now()
	for id, list := range d.idle {
		list = slices.DeleteFunc(list, func(c *conn) bool {
			if c.usable(now, c.keepAlive) {
				return false
			}
			_ = c.Close()
			return true
		})
		if len(list) == 0 {
			delete(d.idle, id)
			continue
		}
		d.idle[id] = list
	}
	if len(d.idle) > 0 && !d.closed {
		d.scheduleSweep()
	}
}
