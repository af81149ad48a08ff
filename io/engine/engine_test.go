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

// TestPollBytes bounds the bytes of a poll: an owner of 8 endpoints spends up to a fifth of the control traffic on polls.
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
		time.Sleep(time.Millisecond) // bytes are counted after the write, by when the answer may already have arrived
	}
	is.True(sent > 0)
	t.Logf("sent=%d received=%d", sent, received)
	is.True(sent <= 80)
}

// TestOpenStreamHoldsNoPrompt guards against open streams that keep their prompts in memory, which can be far larger than
// the rest of a stream.
func TestOpenStreamHoldsNoPrompt(t *testing.T) {
	is := is.New(t)
	// The simulated engine of package runner would also keep the prompt in the memory of this process.
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // only the client's memory is measured
		_, _ = io.WriteString(w, `{"generation_id":"g","request_id":"r"}`+"\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	defer srv.Close()
	cfg := &conf.Settings{}
	conf.SetDefaults(cfg)
	e := engine.New(strings.TrimPrefix(srv.URL, "http://"), link.New(cfg).EngineClient())
	const size = 8 << 20
	before := heapBytes()
	s, err := e.Generate(t.Context(), core.GenerateRequest{
		RequestID: "r", Model: "m", MaxTokens: 1 << 20, Prompt: strings.Repeat("x", size),
	})
	is.NoErr(err)
	defer s.Close()
	_, err = s.Next()
	is.NoErr(err)
	held := heapBytes() - before
	t.Logf("held=%d", held)
	is.True(held < size/2)
}

// heapBytes returns the heap bytes in use. The second collection empties the sync.Pools that hold the buffers of encoding/json.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
