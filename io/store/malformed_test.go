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

// TestMalformedAnswer guards against an answer of the object API with a malformed head that counts as an answer, also as one that says
// that a write had no effect.
func TestMalformedAnswer(t *testing.T) {
	var answers []string
	for _, sound := range []string{
		broken.Framed(http.StatusOK, `{"revision":1,"objects":[]}`), broken.Chunked(http.StatusOK, `{"revision":1,"objects":[]}`),
		broken.Framed(http.StatusNotFound, ""), broken.Framed(http.StatusPreconditionFailed, ""), broken.Framed(http.StatusGone, ""),
	} {
		answers = append(answers, strings.Replace(sound, "\r\n", "\r\nETag: \"7\"\r\n", 1))
	}
	for _, head := range broken.Heads() {
		t.Run(head.Name, func(t *testing.T) {
			t.Parallel()
			for _, answer := range answers {
				checkMalformed(t, head.Spoil(answer))
			}
		})
	}
}

// checkMalformed checks that each call fails when the object API answers so, and that writes may have had an effect.
func checkMalformed(t *testing.T, answer string) {
	t.Helper()
	server, err := broken.Start(func(*http.Request) string { return answer })
	is.New(t).NoErr(err)
	t.Cleanup(server.Close)
	ctx := t.Context()
	for name, call := range map[string]func(core.Store) error{
		"get":    func(s core.Store) error { _, err := s.Get(ctx, "a/b"); return err },
		"list":   func(s core.Store) error { _, _, err := s.List(ctx, "a/", "", 10); return err },
		"watch":  func(s core.Store) error { return s.Watch(ctx, "a/", 1, func(*core.Change) error { return errCalled }) },
		"put":    func(s core.Store) error { _, err := s.Put(ctx, "a/b", []byte("v"), 3); return err },
		"delete": func(s core.Store) error { return s.Delete(ctx, "a/b", 3) },
	} {
		err := call(newStore(t, "http://"+server.Address())) // each has a circuit breaker of its own
		var failed *core.StoreError
		switch {
		case !errors.As(err, &failed), errors.Is(err, errCalled):
			t.Errorf("%s: error %v", name, err)
		case (name == "put" || name == "delete") != (failed.Effect == core.EffectUnknown):
			t.Errorf("%s: effect %v", name, failed.Effect)
		case errors.Is(err, core.ErrNotFound), errors.Is(err, core.ErrVersionMismatch), errors.Is(err, core.ErrHistoryGone):
			t.Errorf("%s: error %v", name, err)
		}
	}
	is.New(t).Equal(server.Requests(), 5)
}

var errCalled = errors.New("the change was passed on")
