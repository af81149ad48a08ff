package engine_test

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/io/engine"
	"snipeshed/io/link"
	"snipeshed/stand/broken"
)

// readFirst returns the error of a stream's start or of its first event.
func readFirst(s core.Stream, err error) error {
	if err != nil {
		return err
	}
	defer s.Close()
	_, err = s.Next()
	return err
}

// TestMalformedAnswer guards against an answer with a malformed head that counts as an answer, or, if it seems to be a refusal, as
// proof that the call was not run.
func TestMalformedAnswer(t *testing.T) {
	const text = `{"generation_id":"g","request_id":"r"}` + "\n"
	answers := []string{
		broken.Framed(http.StatusOK, text), broken.Chunked(http.StatusOK, text),
		broken.Framed(http.StatusServiceUnavailable, ""), broken.Framed(http.StatusNotFound, ""), broken.Framed(http.StatusConflict, ""),
	}
	cfg := &conf.Settings{}
	conf.SetDefaults(cfg)
	client := link.New(cfg).EngineClient()
	for _, head := range broken.Heads() {
		t.Run(head.Name, func(t *testing.T) {
			t.Parallel()
			for _, answer := range answers {
				s, err := broken.Start(func(*http.Request) string { return head.Spoil(answer) })
				is.New(t).NoErr(err)
				checkCalls(t, engine.New(s.Address(), client))
				is.New(t).Equal(s.Requests(), 6) // each call is sent once
				s.Close()
			}
		})
	}
}

// checkCalls checks that each call fails without telling what became of it.
func checkCalls(t *testing.T, e *engine.Engine) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for name, call := range map[string]func() error{
		"generate": func() error { return readFirst(e.Generate(ctx, core.GenerateRequest{RequestID: "r"})) },
		"resume":   func() error { return readFirst(e.Resume(ctx, "g", 1)) },
		"status":   func() error { _, err := e.Status(ctx, "g"); return err },
		"cancel":   func() error { return e.Cancel(ctx, "g") },
		"load":     func() error { _, err := e.Load(ctx); return err },
		"order":    func() error { return e.SendOrder(ctx, core.RunnerOrder{}) },
	} {
		err := call()
		if err == nil || errors.Is(err, core.ErrNotSent) || errors.Is(err, core.ErrUnknownGeneration) || errors.Is(err, core.ErrStaleOrder) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}
