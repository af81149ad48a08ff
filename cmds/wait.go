package cmds

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"snipeshed/wire"
)

// pollInterval is short compared with the 10 s within which a ticket is in force at every instance.
const pollInterval = 500 * time.Millisecond

// waitInForce polls the status until a ticket is in force at every instance, and prints each instance at which it is.
func (c *client) waitInForce(ctx context.Context, w io.Writer, number uint64, limit time.Duration) error {
	begin, printed := time.Now(), map[string]bool{}
	for {
		resp, err := c.Status(ctx, &wire.StatusRequest{})
		var missing []string
		if err != nil {
			missing = []string{c.callError(err).Error()}
		}
		for _, in := range resp.GetInstances() {
			if in.GetReachable() && in.GetTicket() >= number {
				if !printed[in.GetId()] {
					printed[in.GetId()] = true
					fmt.Fprintf(w, "ticket %d in force at %s (%s) after %.1f s\n", number, in.GetId(), in.GetFailureDomain(), time.Since(begin).Seconds())
				}
				continue
			}
			missing = append(missing, describeLag(in))
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
		case <-time.After(pollInterval):
		case <-ctx.Done():
		}
	}
}

func describeLag(in *wire.InstanceStatus) string {
	if !in.GetReachable() {
		return in.GetId() + " (unreachable)"
	}
	return fmt.Sprintf("%s (at %d)", in.GetId(), in.GetTicket())
}
