package roster

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"snipeshed/conf"
	"snipeshed/stand/broken"
)

// TestMalformedAnswer guards against an instance list in an answer with a malformed head.
func TestMalformedAnswer(t *testing.T) {
	for _, head := range broken.Heads() {
		t.Run(head.Name, func(t *testing.T) {
			is := is.New(t)
			s, err := broken.Start(func(*http.Request) string { return head.Spoil(broken.Framed(http.StatusOK, oddEntries)) })
			is.NoErr(err)
			defer s.Close()
			r := New(&conf.Settings{PlatformUrl: "http://" + s.Address(), StoreTimeoutMs: 300, DialTimeoutMs: 300})
			defer r.Close()
			_, _, err = r.List(t.Context(), 3)
			is.True(err != nil)
		})
	}
}
