package cmds_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"snipeshed/stand/broken"
)

// Guards against a command that takes an instance's answer with a malformed head for an answer.
func TestMalformedAnswer(t *testing.T) {
	for _, head := range broken.Heads() {
		t.Run(head.Name, func(t *testing.T) {
			is := is.New(t)
			s, err := broken.Start(func(*http.Request) string { return head.Spoil(broken.Framed(http.StatusOK, "")) })
			is.NoErr(err)
			defer s.Close()
			code, out, errs := (&testInstance{address: s.Address()}).run(t, "ticket list", "")
			is.True(code != 0)
			is.Equal(out, "")
			is.True(strings.Contains(errs, "the instance at "+s.Address()+" did not answer") || strings.Contains(errs, "status"))
		})
	}
}
