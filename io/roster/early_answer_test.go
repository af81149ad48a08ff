package roster

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"snipeshed/conf"
	"snipeshed/stand/broken"
)

// TestBrokenAnswer guards against an instance list that counts as whole although the platform broke off its answer.
func TestBrokenAnswer(t *testing.T) {
	for _, ending := range broken.BreakOffs() {
		if ending.NeedsUpload {
			continue // the request has no body
		}
		t.Run(ending.Name, func(t *testing.T) {
			is := is.New(t)
			server, err := broken.StartEarly(ending, func(*http.Request) string { return broken.Unframed(http.StatusOK, oddEntries) })
			is.NoErr(err)
			defer server.Close()
			r := New(&conf.Settings{PlatformUrl: "http://" + server.Address(), StoreTimeoutMs: 300, DialTimeoutMs: 300})
			defer r.Close()
			_, _, err = r.List(t.Context(), 3)
			is.True(err != nil)
		})
	}
}
