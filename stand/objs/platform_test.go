package objs_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/stand/host"
	"snipeshed/stand/objs"
)

// caller is a client of a Platform over in-memory connections, which work in the virtual time of synctest.
type caller struct {
	*is.I
	*objs.Platform
	client *http.Client
	ctx    context.Context
}

type answer struct {
	status     int
	etag, body string
	err        error
}

// call sends a request with headers given as "Name: value". The answer has err set if the request failed.
func (c *caller) call(ctx context.Context, method, path, body string, headers ...string) (a answer) {
	req, err := http.NewRequestWithContext(ctx, method, "http://platform"+path, strings.NewReader(body))
	c.NoErr(err)
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		req.Header.Set(name, value)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header.Get("ETag"), string(b), err}
}

func (c *caller) do(method, path, body string, headers ...string) answer {
	return c.call(c.ctx, method, path, body, headers...)
}

func (c *caller) create(key string) answer {
	return c.do("PUT", "/v1/objects/"+key, "v", "If-None-Match: *")
}

// watch starts a watch. The function lines returns the lines received since its previous call, ended whether the watch has
// ended.
func (c *caller) watch(path string) (lines func() []string, ended func() bool) {
	var mu sync.Mutex
	var got []string
	var end bool
	go func() {
		req, _ := http.NewRequestWithContext(c.ctx, "GET", "http://platform"+path, nil)
		if resp, err := c.client.Do(req); err == nil {
			defer resp.Body.Close()
			for s := bufio.NewScanner(resp.Body); s.Scan(); {
				mu.Lock()
				got = append(got, s.Text())
				mu.Unlock()
			}
		}
		mu.Lock()
		end = true
		mu.Unlock()
	}()
	synctest.Wait()
	return func() []string {
			synctest.Wait()
			mu.Lock()
			defer mu.Unlock()
			out := got
			got = nil
			return out
		}, func() bool {
			synctest.Wait()
			mu.Lock()
			defer mu.Unlock()
			return end
		}
}

func TestObjectAPI(t *testing.T) {
	for _, tc := range []struct {
		name, guards string
		opts         []objs.Option
		run          func(c *caller)
	}{
		{"conditional writes", "a lost update", nil, func(c *caller) {
			c.Equal(c.create("a/b"), answer{200, `"1"`, "", nil})
			c.Equal(c.create("a/b").status, 412)
			c.Equal(c.do("PUT", "/v1/objects/a/b", "w", `If-Match: "2"`).status, 412)
			c.Equal(c.do("PUT", "/v1/objects/a/b", "w", `If-Match: "1"`).etag, `"2"`)
			c.Equal(c.do("PUT", "/v1/objects/a/c", "w", `If-Match: "2"`).status, 412) // does not exist
			c.Equal(c.do("PUT", "/v1/objects/a/b", "w").status, 428)
			c.Equal(c.do("GET", "/v1/objects/a/b", ""), answer{200, `"2"`, "w", nil})
			c.Equal(c.do("DELETE", "/v1/objects/a/b", "", `If-Match: "1"`).status, 412)
			c.Equal(c.do("DELETE", "/v1/objects/a/b", "", `If-Match: "2"`).status, 204)
			c.Equal(c.do("GET", "/v1/objects/a/b", "").status, 404)
			c.Equal(c.create("a/b").etag, `"4"`) // versions are never reused
			c.Equal(c.Counts().Conflicts, int64(4))
		}},
		{"racing creates", "two creates of one key that both succeed", nil, func(c *caller) {
			var wg sync.WaitGroup
			answers := make(chan answer, 20)
			for range 20 {
				wg.Go(func() { answers <- c.create("tickets/0000000001") })
			}
			wg.Wait()
			close(answers)
			n := 0
			for a := range answers {
				if a.status == 200 {
					n++
				}
			}
			c.Equal(n, 1)
		}},
		{"size of values", "values that the platform would reject", nil, func(c *caller) {
			c.Equal(c.do("PUT", "/v1/objects/k", strings.Repeat("x", 1<<20), "If-None-Match: *").status, 200)
			c.Equal(c.do("PUT", "/v1/objects/l", strings.Repeat("x", 1<<20+1), "If-None-Match: *").status, 413)
		}},
		{"list", "pages that skip or repeat keys", nil, func(c *caller) {
			for _, k := range []string{"b/2", "a/1", "b/1", "b/3", "c", "b"} {
				c.Equal(c.create(k).status, 200)
			}
			c.Equal(c.do("GET", "/v1/objects?prefix=b/&limit=2", "").body,
				`{"more":true,"objects":[{"key":"b/1","version":3,"value":"dg=="},{"key":"b/2","version":1,"value":"dg=="}],"revision":6}`+"\n")
			c.Equal(c.do("GET", "/v1/objects?prefix=b/&after=b/2", "").body,
				`{"more":false,"objects":[{"key":"b/3","version":4,"value":"dg=="}],"revision":6}`+"\n")
			c.Equal(len(c.List("")), 6)
			c.Equal(len(c.List("b")), 4)
		}},
		{"watch", "lost changes, and a stalled watch that looks alive because there are no heartbeats", nil, func(c *caller) {
			c.create("a/1")
			c.create("b/1")
			lines, _ := c.watch("/v1/watch?prefix=a/&since=0")
			c.Equal(lines(), []string{`{"key":"a/1","version":1,"value":"dg=="}`})
			c.do("DELETE", "/v1/objects/a/1", "", `If-Match: "1"`)
			c.create("b/2")
			c.create("a/2")
			c.Equal(lines(), []string{`{"key":"a/1","version":3,"deleted":true}`, `{"key":"a/2","version":5,"value":"dg=="}`})
			time.Sleep(2500 * time.Millisecond)
			c.Equal(lines(), []string{"", ""})
			c.Equal(c.Counts().Watches, int64(1))
			c.Equal(c.Counts().OpenWatches, int64(1))
		}},
		{"watch beyond the history", "a gap in the changes that the client does not learn of", []objs.Option{objs.WithHistory(2)}, func(c *caller) {
			for _, k := range []string{"1", "2", "3"} {
				c.create(k)
			}
			c.Equal(c.do("GET", "/v1/watch?since=0", "").status, 410)
			lines, _ := c.watch("/v1/watch?since=1")
			c.Equal(len(lines()), 2)
		}},
		{"rate limits", "a client that needs more calls than the platform allows", []objs.Option{objs.WithRates(5, 2)}, func(c *caller) {
			for key, want := range []int{200, 200, 429} {
				c.Equal(c.create(fmt.Sprint(key)).status, want)
			}
			for range 5 {
				c.Equal(c.do("GET", "/v1/objects", "").status, 200)
			}
			c.Equal(c.do("GET", "/v1/objects", "").status, 429)
			time.Sleep(500 * time.Millisecond)
			c.Equal(c.create("later").status, 200)
			c.Equal(c.create("too soon").status, 429)
			c.Equal(c.Counts().Limited, int64(3))
		}},
		{"outage that refuses", "a write during an outage that takes effect", nil, func(c *caller) {
			_, ended := c.watch("/v1/watch")
			c.SetOutage(objs.OutageRefuse)
			c.Equal(c.create("k").status, 503)
			c.True(ended())
			c.Equal(c.do("GET", "/v1/instances", "").status, 503)
			c.Equal(c.do("POST", "/admin/outage?mode=none", "").status, 204)
			c.Equal(c.create("k").status, 200)
		}},
		{"outage that hangs", "a hang that answers calls or sends heartbeats, which would hide callers without a timeout", nil, func(c *caller) {
			lines, ended := c.watch("/v1/watch")
			c.SetOutage(objs.OutageHang)
			ctx, cancel := context.WithTimeout(c.ctx, time.Minute)
			defer cancel()
			c.True(c.call(ctx, "PUT", "/v1/objects/k", "v", "If-None-Match: *").err != nil)
			c.Equal(len(lines()), 0) // no heartbeats
			c.True(!ended())
			c.SetOutage(objs.OutageNone)
			c.Equal(c.create("k").status, 200)
			c.Equal(len(lines()), 1)
		}},
		{"lost answer", "a lost answer to a write that did not take effect", nil, func(c *caller) {
			c.LoseAnswers(1, "actions/")
			c.Equal(c.create("tickets/1").status, 200)
			c.True(c.create("actions/1").err != nil)
			_, exists := c.Get("actions/1")
			c.True(exists)
			c.Equal(c.create("actions/2").status, 200)
		}},
		{"held answer", "a held answer to a write without effect, and an answer that stays held after the release", nil, func(c *caller) {
			c.Equal(c.do("POST", "/admin/hold_answers?prefix=actions/", "").status, 204)
			c.Equal(c.create("tickets/1").status, 200)
			done := make(chan answer)
			go func() { done <- c.create("actions/1") }()
			synctest.Wait()
			_, exists := c.Get("actions/1")
			c.True(exists)
			c.Equal(c.create("actions/1").status, 412) // without effect, so not held
			c.Equal(c.Counts().HeldAnswers, int64(1))
			c.Equal(c.do("POST", "/admin/release_answers", "").status, 204)
			c.Equal((<-done).status, 200)
			c.Equal(c.create("actions/2").status, 200)
		}},
		{"slow", "a write that has no effect because its caller timed out", nil, func(c *caller) {
			c.SetDelay(3 * time.Second)
			ctx, cancel := context.WithTimeout(c.ctx, time.Second)
			defer cancel()
			c.True(c.call(ctx, "PUT", "/v1/objects/k", "v", "If-None-Match: *").err != nil)
			_, exists := c.Get("k")
			c.True(!exists)
			time.Sleep(3 * time.Second)
			_, exists = c.Get("k")
			c.True(exists)
		}},
		{"instance list", "a list without the platform's lag", []objs.Option{objs.WithListLag(2 * time.Second)}, func(c *caller) {
			set := func(id, state string) {
				body := `{"id":"` + id + `","address":"127.0.0.1:1","failure_domain":"ee-1","kind":"endpoint","state":"` + state + `"}`
				c.Equal(c.do("POST", "/admin/instances", body).status, 204)
			}
			set("r1", "live")
			set("r2", "live")
			c.Equal(c.do("GET", "/v1/instances", "").body, `{"revision":0,"instances":[]}`+"\n")
			time.Sleep(2 * time.Second)
			set("r1", "leaving")
			set("r2", "gone")
			c.Equal(strings.Count(c.do("GET", "/v1/instances?since=0", "").body, `"live"`), 2)
			time.Sleep(2 * time.Second)
			r1 := `{"id":"r1","address":"127.0.0.1:1","failure_domain":"ee-1","kind":"endpoint","state":"leaving"}`
			c.Equal(c.do("GET", "/v1/instances?since=0", "").body, `{"revision":4,"instances":[`+r1+`]}`+"\n")
			c.Equal(c.do("GET", "/v1/instances?since=2", "").body, `{"revision":4,"instances":[`+r1+`,`+strings.NewReplacer("r1", "r2", "leaving", "gone").Replace(r1)+`]}`+"\n")
			c.Equal(c.do("POST", "/admin/instances", `{"id":"x"}`).status, 400)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Log("guards against " + tc.guards)
			synctest.Test(t, func(t *testing.T) {
				p := host.NewPipe()
				c := &caller{I: is.New(t), Platform: objs.New(append(tc.opts, objs.WithListener(p))...), client: p.Client()}
				var cancel context.CancelFunc
				c.ctx, cancel = context.WithCancel(context.Background())
				c.NoErr(c.Start())
				defer time.Sleep(time.Second) // net/http keeps a connection open for a while after it rejected a body
				defer c.Close()
				defer cancel()
				tc.run(c)
			})
		})
	}
}

// Guards against a server that works over in-memory connections only.
func TestTCP(t *testing.T) {
	is := is.New(t)
	o := objs.New()
	is.NoErr(o.Start())
	defer o.Close()
	req, err := http.NewRequest("PUT", o.URL()+"/v1/objects/k", strings.NewReader("v"))
	is.NoErr(err)
	req.Header.Set("If-None-Match", "*")
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	resp.Body.Close()
	obj, _ := o.Get("k")
	is.Equal(obj, core.Object{Key: "k", Value: []byte("v"), Version: 1})
}
