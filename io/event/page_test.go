package event_test

import (
	"os"
	"regexp"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// TestPage guards against events missing in docs/OPERATIONS.md, and entries there without an event.
func TestPage(t *testing.T) {
	is := is.New(t)
	code, err := os.ReadFile("kind.go")
	is.NoErr(err)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	names := func(re string, b []byte) []string {
		var out []string
		for _, m := range regexp.MustCompile(re).FindAllSubmatch(b, -1) {
			out = append(out, string(m[1]))
		}
		return out
	}
	section := regexp.MustCompile(`(?s)## Events.*## Metrics`).Find(page)
	kinds, rows := names(`Kind = "(\w+)"`, code), names("(?m)^\\| `(\\w+)`", section)
	is.True(len(kinds) > 0)
	slices.Sort(kinds)
	slices.Sort(rows)
	is.Equal(kinds, rows)
}
