package store_test

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/stand/broken"
)

// TestBrokenAnswer guards against a part of an object or of a list that counts as the whole one because the object API broke off its
// answer.
func TestBrokenAnswer(t *testing.T) {
	for _, ending := range broken.BreakOffs() {
		if ending.NeedsUpload {
			continue // reads have no body
		}
		t.Run(ending.Name, func(t *testing.T) {
			is := is.New(t)
			server, err := broken.StartEarly(ending, func(*http.Request) string {
				return strings.Replace(broken.Unframed(http.StatusOK, `{"revision":1,"objects":[]}`), "\r\n", "\r\nETag: \"7\"\r\n", 1)
			})
			is.NoErr(err)
			t.Cleanup(server.Close)
			var failed *core.StoreError
			_, err = newStore(t, "http://"+server.Address()).Get(t.Context(), "a/b")
			is.True(errors.As(err, &failed))
			_, _, err = newStore(t, "http://"+server.Address()).List(t.Context(), "a/", "", 10)
			is.True(errors.As(err, &failed))
			is.Equal(server.Requests(), 2)
		})
	}
}
