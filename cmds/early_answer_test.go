package cmds_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"snipeshed/stand/broken"
)

// largeTicket returns a ticket with an id that the kernel does not take at once.
func largeTicket() string {
	const items, nameBytes = 20_000, 200
	var list []string
	for i := range items {
		list = append(list, fmt.Sprintf(`{"rank":{"name":"%0*d","priority":"10"}}`, nameBytes, i))
	}
	return `{"id":"big","base":"1","author":"piret","items":[` + strings.Join(list, ",") + `]}`
}

// TestBrokenEarlyAnswer guards against a ticket that counts as accepted because of an answer that the instance broke off while the ticket
// was still being sent to it.
func TestBrokenEarlyAnswer(t *testing.T) {
	ticket := largeTicket()
	for _, ending := range broken.BreakOffs() {
		t.Run(ending.Name, func(t *testing.T) {
			is := is.New(t)
			s, err := broken.StartEarly(ending, func(*http.Request) string { return broken.Unframed(http.StatusOK, "") })
			is.NoErr(err)
			defer s.Close()
			code, out, errs := (&testInstance{address: s.Address()}).run(t, "ticket apply FILE", ticket)
			is.True(code != 0)
			is.Equal(out, "")
			is.True(strings.Contains(errs, "the instance at "+s.Address()+" did not answer"))
		})
	}
}
