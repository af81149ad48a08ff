package runner_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/stand/batch"
	"snipeshed/stand/host"
	"snipeshed/stand/runner"
)

// caller is a client of a runner over in-memory connections, which work in the virtual time of synctest.
type caller struct {
	*is.I
	*runner.Runner
	client *http.Client
	bodies []io.Closer
}

func (c *caller) do(method, path string, body any) *stream {
	c.Helper()
	b, err := json.Marshal(body)
	c.NoErr(err)
	req, err := http.NewRequestWithContext(context.Background(), method, "http://runner"+path, bytes.NewReader(b))
	c.NoErr(err)
	resp, err := c.client.Do(req) //nolint:bodyclose // closed at the end of the test case, which may not read the stream to its end
	c.NoErr(err)
	c.bodies = append(c.bodies, resp.Body)
	return &stream{I: c.I, resp: resp, scanner: bufio.NewScanner(resp.Body)}
}

func (c *caller) read(method, path string, body any) (status int, text string) {
	c.Helper()
	s := c.do(method, path, body)
	b, err := io.ReadAll(s.resp.Body)
	c.NoErr(err)
	return s.resp.StatusCode, string(b)
}

func (c *caller) load() (l core.RunnerLoad) {
	c.Helper()
	_, text := c.read("GET", "/v1/load", nil)
	c.NoErr(json.Unmarshal([]byte(text), &l))
	return l
}

func (c *caller) generate(id, prompt string) *stream {
	c.Helper()
	s := c.do("POST", "/v1/generate", core.GenerateRequest{RequestID: core.RequestID(id), Model: "m", Prompt: prompt})
	c.Equal(s.resp.StatusCode, 200)
	return s
}

func (c *caller) resume(id string, from int) *stream {
	c.Helper()
	s := c.do("GET", fmt.Sprintf("/v1/generations/%s?from=%d", id, from), nil)
	c.Equal(s.resp.StatusCode, 200)
	return s
}

type stream struct {
	*is.I
	resp    *http.Response
	scanner *bufio.Scanner
}

func (s *stream) id() string { return s.resp.Header.Get("Generation-Id") }

// read reads up to n tokens. It returns their text, the last line read, and whether the stream broke with an error.
func (s *stream) read(n int) (text, last string, broken bool) {
	for n > 0 && s.scanner.Scan() {
		var e core.Event
		last = s.scanner.Text()
		s.NoErr(json.Unmarshal([]byte(last), &e))
		if e.Text != "" {
			n--
		}
		text += e.Text
	}
	return text, last, s.scanner.Err() != nil
}

const allTokens = 1 << 30

func TestProtocol(t *testing.T) {
	for _, tc := range []struct {
		name, guards string
		opts         []runner.Option
		run          func(c *caller)
	}{
		{"whole stream", "lines that differ from the published protocol", nil, func(c *caller) {
			s := c.generate("r1", "hello [output=2]")
			b, err := io.ReadAll(s.resp.Body)
			c.NoErr(err)
			want := fmt.Sprintf(`{"generation_id":"%[1]s","request_id":"r1","cached_tokens":0}
{"i":0,"t":"%[2]s"}
{"i":1,"t":"%[3]s"}
{"done":true,"finish_reason":"stop","tokens":2}
`, s.id(), runner.TokenText(core.GenerationID(s.id()), "r1", "", 0), runner.TokenText(core.GenerationID(s.id()), "r1", "", 1))
			c.Equal(string(b), want)
		}},
		{"resume after a broken connection", "a generation that ends when its client disconnects, and lost or repeated tokens", nil, func(c *caller) {
			s := c.generate("r1", "[output=500][mark=x1]")
			text, _, _ := s.read(30)
			c.KillStreams()
			lost, _, broken := s.read(allTokens)
			c.True(broken)
			time.Sleep(5 * time.Second) // the generation ends long before, and is retained for 10 s
			rest, last, broken := c.resume(s.id(), 30+len(strings.Fields(lost))).read(allTokens)
			n, err := runner.CheckText(text+lost+rest, "r1", "x1")
			c.NoErr(err)
			c.Equal(n, core.Tokens(500))
			c.Equal(last, `{"done":true,"finish_reason":"stop","tokens":500}`)
			c.True(!broken)
			status, body := c.read("GET", "/v1/generations/"+s.id()+"/status", nil)
			c.Equal(status, 200)
			c.Equal(body, `{"request_id":"r1","tokens":500,"done":true}`+"\n")
			time.Sleep(10 * time.Second)
			status, _ = c.read("GET", "/v1/generations/"+s.id()+"?from=3", nil)
			c.Equal(status, 404)
			c.Equal(c.StartsOf("r1"), 1)
		}},
		{
			"preemption", "a preempted generation that repeats or skips tokens",
			[]runner.Option{runner.WithBatch(batch.Config{KVCapacity: 400, CacheTokens: -1})},
			func(c *caller) {
				a, b := c.generate("a", "[output=300]"), c.generate("b", "[output=300]")
				bytesB, err := io.ReadAll(b.resp.Body)
				c.NoErr(err)
				c.Equal(strings.Count(string(bytesB), `{"preempted":true}`), 1)
				for _, s := range []*stream{a, c.resume(b.id(), 0)} {
					text, last, _ := s.read(allTokens)
					n, err := runner.CheckText(text, "", "")
					c.NoErr(err)
					c.Equal(n, core.Tokens(300))
					c.Equal(last, `{"done":true,"finish_reason":"stop","tokens":300}`)
				}
				end, _ := io.ReadAll(c.resume(b.id(), 299).resp.Body)
				c.True(!strings.Contains(string(end), "preempted")) // the preemption was before token 299
				c.Equal(c.State().Preemptions, int64(1))
				c.True(c.State().Recomputed > 100)
			},
		},
		{"cancel", "a canceled generation that continues or looks complete", nil, func(c *caller) {
			s := c.generate("r1", "[output=500]")
			s.read(10)
			status, _ := c.read("DELETE", "/v1/generations/"+s.id(), nil)
			c.Equal(status, 204)
			_, last, broken := s.read(allTokens)
			c.True(!broken && !strings.Contains(last, "done"))
			status, _ = c.read("DELETE", "/v1/generations/"+s.id(), nil)
			c.Equal(status, 404)
			c.Equal(c.State().KVUsed, core.Tokens(0))
		}},
		{"leaving", "new generations at a leaving runner, and running ones that are cut off", nil, func(c *caller) {
			s := c.generate("r1", "[output=50]")
			status, _ := c.read("POST", "/admin/leaving?on=true", nil)
			c.Equal(status, 204)
			refused := c.do("POST", "/v1/generate", core.GenerateRequest{Model: "m", Prompt: "x"})
			c.Equal(refused.resp.StatusCode, 503)
			c.Equal(refused.resp.Header.Get("Endpoint-State"), "leaving")
			c.True(c.load().Leaving)
			text, _, _ := s.read(allTokens)
			c.Equal(len(strings.Fields(text)), 50)
		}},
		{"orders checked", "an order with an outdated number that takes effect", []runner.Option{runner.WithLoadTime(time.Second)}, func(c *caller) {
			order := func(n core.TicketNumber, model core.ModelName) (int, string) {
				return c.read("POST", "/v1/orders", core.RunnerOrder{Number: n, Model: model})
			}
			status, _ := order(7, "other")
			c.Equal(status, 200)
			status, _ = order(7, "other")
			c.Equal(status, 200) // a repeated order
			status, body := order(6, "m")
			c.Equal(status, 409)
			c.Equal(body, `{"number":7}`+"\n")
			status, _ = c.read("POST", "/v1/generate", core.GenerateRequest{Model: "other", Prompt: "x"})
			c.Equal(status, 409) // model is still loading
			time.Sleep(2 * time.Second)
			status, _ = c.read("POST", "/v1/generate", core.GenerateRequest{Model: "other", Prompt: "x", MaxTokens: 1})
			c.Equal(status, 200)
			c.Equal(c.load().OrderNumber, core.TicketNumber(7))
		}},
		{"orders not checked", "a runner with the order check disabled that still rejects outdated orders", []runner.Option{runner.WithOrderCheck(false)}, func(c *caller) {
			c.read("POST", "/v1/orders", core.RunnerOrder{Number: 7, Model: "other"})
			status, _ := c.read("POST", "/v1/orders", core.RunnerOrder{Number: 6, Model: "m"})
			c.Equal(status, 200)
			time.Sleep(time.Second)
			c.Equal(c.load().OrderNumber, core.TicketNumber(6))
		}},
		{"lag of the load", "load reports that are fresher than a real engine's", nil, func(c *caller) {
			c.Equal(c.load().Model, core.ModelName("m"))
			c.generate("r1", "[output=2000]")
			time.Sleep(300 * time.Millisecond)
			c.Equal(c.load().Running, 0)
			time.Sleep(300 * time.Millisecond)
			c.Equal(c.load().Running, 1)
			c.True(c.load().KVUsed < c.State().KVUsed-10)
		}},
		{"cache events", "cache events without the delay and gaps of a real engine", []runner.Option{runner.WithCacheEvents(time.Second, 2)}, func(c *caller) {
			for i := range 3 {
				c.generate("r", strings.Repeat(fmt.Sprint(i), 64+i)+"[output=1]").read(allTokens)
			}
			events := func(after int) (e runner.CacheEvents) {
				_, text := c.read("GET", fmt.Sprintf("/v1/cache_events?after=%d", after), nil)
				c.NoErr(json.Unmarshal([]byte(text), &e))
				return e
			}
			c.Equal(len(events(0).Events), 0)
			time.Sleep(time.Second)
			c.Equal(len(events(0).Events), 2) // the second is dropped
			c.Equal(events(0).Last, int64(3))
			c.Equal(events(1).Events[0].Blocks, []string{fmt.Sprintf("%016x", batch.PrefixHashes(strings.Repeat("2", 64), 16)[0])})
			s := c.generate("r", strings.Repeat("2", 64)+" again [output=1]")
			b, _ := io.ReadAll(s.resp.Body)
			c.True(strings.Contains(string(b), `"cached_tokens":16`))
		}},
		{"silent stream", "a stalled connection that cannot be distinguished from a slow engine", nil, func(c *caller) {
			s := c.generate("r1", "[output=1000]")
			text, _, _ := s.read(10)
			c.Freeze(runner.ScopeStreams)
			time.Sleep(time.Second)
			c.True(c.State().Generated > 100)
			rest, _, _ := c.resume(s.id(), 10).read(allTokens)
			n, err := runner.CheckText(text+rest, "r1", "")
			c.NoErr(err)
			c.Equal(n, core.Tokens(1000))
			c.KillStreams()
			_, _, broken := s.read(allTokens)
			c.True(broken)
		}},
		{"frozen engine", "a slow engine that looks like a stalled connection", nil, func(c *caller) {
			s := c.generate("r1", "[output=1000]")
			s.read(10)
			c.Freeze(runner.ScopeEngine)
			c.Freeze(runner.ScopeAll)
			time.Sleep(time.Minute)
			c.Thaw(runner.ScopeAll)
			before := c.State().Generated
			c.True(before < 20)
			status, _ := c.read("GET", "/v1/generations/"+s.id()+"/status", nil)
			c.Equal(status, 200)
			c.Thaw(runner.ScopeEngine)
			time.Sleep(100 * time.Millisecond)
			after := c.State().Generated
			c.True(after > before && after < 40) // the engine does not catch up for the frozen time
			c.Reset()
			_, _, broken := s.read(allTokens)
			c.True(broken)
		}},
		{"refusals", "an invalid request that starts a generation", nil, func(c *caller) {
			for body, want := range map[string]int{`{`: 400, `{"model":"m"}`: 400, `{"model":"other","prompt":"x"}`: 409} {
				req, _ := http.NewRequest("POST", "http://runner/v1/generate", strings.NewReader(body))
				resp, err := c.client.Do(req)
				c.NoErr(err)
				resp.Body.Close()
				c.Equal(resp.StatusCode, want)
			}
			c.Equal(c.State().Started, int64(0))
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Log("guards against " + tc.guards)
			synctest.Test(t, func(t *testing.T) {
				p := host.NewPipe()
				r := runner.New(append([]runner.Option{runner.WithListener(p), runner.WithModel("m", "1")}, tc.opts...)...)
				c := &caller{I: is.New(t), Runner: r, client: p.Client()}
				c.NoErr(r.Start())
				defer func() {
					c.Close()
					for _, b := range c.bodies {
						b.Close()
					}
				}()
				tc.run(c)
			})
		})
	}
}

// Guards against a check that accepts spliced, incomplete or swapped answers.
func TestCheckText(t *testing.T) {
	tok := runner.TokenText
	for _, tc := range []struct {
		name, text string
		ok         bool
	}{
		{"good", tok("g", "r", "m", 0) + tok("g", "r", "m", 1), true},
		{"empty", "", true},
		{"two generations", tok("g", "r", "m", 0) + tok("h", "r", "m", 1), false},
		{"token lost", tok("g", "r", "m", 0) + tok("g", "r", "m", 2), false},
		{"first token lost", tok("g", "r", "m", 1), false},
		{"token doubled", tok("g", "r", "m", 0) + tok("g", "r", "m", 0), false},
		{"other request", tok("g", "q", "m", 0), false},
		{"other mark", tok("g", "r", "n", 0), false},
		{"cut short", strings.TrimSuffix(tok("g", "r", "m", 0), ".0 "), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := runner.CheckText(tc.text, "r", "m")
			is.New(t).Equal(err == nil, tc.ok)
		})
	}
}
