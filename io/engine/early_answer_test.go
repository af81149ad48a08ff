package engine_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/io/engine"
	"snipeshed/io/link"
	"snipeshed/stand/broken"
)

// TestBrokenEarlyStream guards against a stream that looks complete because the engine broke it off while the prompt was still being
// written.
func TestBrokenEarlyStream(t *testing.T) {
	const text = `{"generation_id":"g","request_id":"r"}` + "\n"
	cfg := &conf.Settings{}
	conf.SetDefaults(cfg)
	client := link.New(cfg).EngineClient()
	req := core.GenerateRequest{RequestID: "r", Prompt: strings.Repeat("x", 4<<20)}
	for _, ending := range broken.BreakOffs() {
		t.Run(ending.Name, func(t *testing.T) {
			t.Parallel()
			for range 10 {
				is := is.New(t)
				server, err := broken.StartEarly(ending, func(*http.Request) string { return broken.Unframed(http.StatusOK, text) })
				is.NoErr(err)
				checkBrokenStream(t, engine.New(server.Address(), client), req)
				is.Equal(server.Requests(), 1)
				server.Close()
			}
		})
	}
}

// checkBrokenStream checks that a generation's stream breaks off and that its engine may have run it.
func checkBrokenStream(t *testing.T, e *engine.Engine, req core.GenerateRequest) {
	t.Helper()
	is := is.New(t)
	s, err := e.Generate(t.Context(), req)
	if err == nil {
		defer s.Close()
	}
	for err == nil {
		_, err = s.Next()
	}
	is.True(!errors.Is(err, io.EOF))
	is.True(!errors.Is(err, core.ErrNotSent))
}
