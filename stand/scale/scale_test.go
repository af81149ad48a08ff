package scale

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a phase that is skipped silently, and against a fleet that cannot start or stop.
func TestRun(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(New(&out, 100*time.Millisecond).Run(context.Background(), Case{Instances: 4, Endpoints: 8, Teams: 2, Tickets: 5}))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	var cases []string
	for _, l := range lines {
		cases = append(cases, strings.TrimPrefix(strings.Fields(l)[1], "case="))
	}
	is.Equal(cases, []string{"all_start", "idle", "healthy", "burst", "domain_removed"})
	is.True(strings.Contains(lines[2], "stale_instances=0"))
}
