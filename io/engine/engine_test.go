package engine_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/conf"
	"snipeshed/core"
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
	for end := time.Now().Add(5 * time.Second); sent == 0 && time.Now().Before(end); sent, received = l.Bytes() {
		time.Sleep(time.Millisecond) // bytes are counted after their write, which the answer can overtake
	}
	is.True(sent > 0)
	t.Logf("sent=%d received=%d", sent, received)
	is.True(sent <= 80)
}

// Guards against open streams that hold their prompts, which can be far longer than all else of a stream.
func TestOpenStreamHoldsNoPrompt(t *testing.T) {
	is := is.New(t)
	// The stand-in would hold the prompt's parts in this process, too.
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // only the client's memory counts
		_, _ = io.WriteString(w, `{"generation_id":"g","request_id":"r"}`+"\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	defer srv.Close()
	cfg := &conf.Settings{}
	conf.SetDefaults(cfg)
	e := engine.New(strings.TrimPrefix(srv.URL, "http://"), link.New(cfg).EngineClient())
	const size = 8 << 20
	before := heap()
	s, err := e.Generate(t.Context(), core.GenerateRequest{
		RequestID: "r", Model: "m", MaxTokens: 1 << 20, Prompt: strings.Repeat("x", size),
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
