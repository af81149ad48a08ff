package cmds_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"snipeshed/cmds"
)

const edgeSettings = `{"instance": "edge-1", "failure_domain": "d1", "client_address": "127.0.0.1:1", "ready_address": "127.0.0.1:2",
 "peer_address": "127.0.0.1:3", "store_address": "127.0.0.1:4", "seeds": ["127.0.0.1:5", "127.0.0.1:6"], "memory_mb": 120, "max_descriptors": 2870}`

// TestCheckEdgeSettings guards against output without the values that an entry instance would use, and against invalid
// values that are found only when it starts.
func TestCheckEdgeSettings(t *testing.T) {
	for _, tt := range []struct {
		name, old, new string
		code           int
		want           []string
	}{
		{"all values with their origin", "", "", 0, []string{
			"instance edge-1 file", "seeds 127.0.0.1:5 127.0.0.1:6 host:port file", "memory_mb 120 MB file", "retry_window_s 10 s default",
			"log_level info default", "settings are valid",
		}},
		{"value out of range", `"memory_mb": 120`, `"memory_mb": 1`, 1, []string{`"memory_mb" has the value "1"`, "use 16 to 1048576 MB"}},
		{"missing value", `"store_address": "127.0.0.1:4", `, "", 1, []string{`"store_address"`, "set it"}},
		{"unknown setting", `"memory_mb": 120`, `"memory_mb": 120, "memroy": 1`, 1, []string{"malformed", "memroy"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "edge.json")
			is.NoErr(os.WriteFile(path, []byte(strings.Replace(edgeSettings, tt.old, tt.new, 1)), 0o600))
			var out, errs bytes.Buffer
			is.Equal(cmds.Main([]string{"snipeshed", "check", "--edge-settings", path}, &out, &errs), tt.code)
			text := strings.Join(strings.Fields(out.String()+errs.String()), " ")
			for _, want := range tt.want {
				is.True(strings.Contains(text, want)) // want
			}
		})
	}
}
