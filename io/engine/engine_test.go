package engine_test

import (
	"context"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/io/engine"
	"snipeshed/io/link"
	"snipeshed/stand/batch"
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

// Guards against open streams that hold their prompts, which can be far longer than all else of a stream.
func TestOpenStreamHoldsNoPrompt(t *testing.T) {
	is := is.New(t)
	r := runner.New(runner.WithModel("m", "1"), runner.WithBatch(batch.Config{
		KVCapacity: 1 << 30, MaxRunning: 1, MaxStepTokens: 1 << 30, StepBase: time.Millisecond, StepPerSequence: 1, StepPerPromptToken: 1,
	}))
	is.NoErr(r.Start())
	defer r.Close()
	cfg := &conf.Settings{}
	conf.SetDefaults(cfg)
	e := engine.New(r.Addr(), link.New(cfg).EngineClient())
	const size = 8 << 20
	before := heap()
	s, err := e.Generate(t.Context(), core.GenerateRequest{
		RequestID: "r", Model: "m", MaxTokens: 1 << 20, Prompt: "[output=1000000] " + strings.Repeat("x", size),
	})
	is.NoErr(err)
	defer s.Close()
	_, err = s.Next()
	is.NoErr(err)
	held := heap() - before
	t.Logf("held=%d", held)
	is.True(held < size/2)
}

// heap returns the bytes in use; the second collection empties the pools, which encoding/json has its buffers in.
func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
