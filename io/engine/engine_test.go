package engine_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"snipeshed/conf"
	"snipeshed/io/engine"
	"snipeshed/io/link"
	"snipeshed/stand/runner"
)

// Guards against polls that grow: an owner of 8 endpoints spends up to a fifth of the control traffic on them.
func TestPollBytes(t *testing.T) {
	is := is.New(t)
	r := runner.New(runner.WithModel("m", "1"))
	is.NoErr(r.Start())
	defer r.Close()
	cfg := &conf.Settings{}
	conf.SetDefaults(cfg)
	l := link.New(cfg)
	e := engine.New(r.Addr(), l.EngineClient())
	_, err := e.Load(context.Background())
	is.NoErr(err)
	sent, received := l.Bytes()
	t.Logf("sent=%d received=%d", sent, received)
	is.True(sent <= 80)
}
