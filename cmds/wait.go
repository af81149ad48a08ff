package cmds

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"snipeshed/wire"
)

// waitInterval is short against the 10 s in which a ticket comes into force everywhere.
const waitInterval = 500 * time.Millisecond

// wait polls the status until a ticket is in force at every instance and prints each instance once.
func (c *client) wait(ctx context.Context, w io.Writer, number uint64, limit time.Duration) error {
	begin, seen := time.Now(), map[string]bool{}
	for {
		resp, err := c.Status(ctx, &wire.StatusRequest{})
		var missing []string
		if err != nil {
			missing = []string{c.explain(err).Error()}
		}
		for _, in := range resp.GetInstances() {
			if in.GetReachable() && in.GetTicket() >= number {
				if !seen[in.GetId()] {
					seen[in.GetId()] = true
					fmt.Fprintf(w, "ticket %d in force at %s (%s) after %.1f s\n", number, in.GetId(), in.GetFailureDomain(), time.Since(begin).Seconds())
				}
				continue
			}
			missing = append(missing, lagging(in))
		}
		if len(missing) == 0 {
			fmt.Fprintf(w, "ticket %d in force at all %d instances that %s knows\n", number, len(resp.GetInstances()), resp.GetInstance())
			return nil
		}
		if time.Since(begin) > limit || ctx.Err() != nil {
			return fmt.Errorf("ticket %d is accepted, but not seen in force at %s after %.0f s; watch it with snipeshed status",
				number, strings.Join(missing, ", "), time.Since(begin).Seconds())
		}
		select {
		case <-time.After(waitInterval):
		case <-ctx.Done():
		}
	}
}

func lagging(in *wire.InstanceStatus) string {
	if !in.GetReachable() {
		return in.GetId() + " (unreachable)"
	}
	return fmt.Sprintf("%s (at %d)", in.GetId(), in.GetTicket())
}
