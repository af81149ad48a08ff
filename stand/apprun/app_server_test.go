package apprun_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"snipeshed/stand/apprun"
	"snipeshed/stand/host"
)

// caller is a client of an AppServer over in-memory connections, which work in the virtual time of synctest.
type caller struct {
	*is.I
	*apprun.AppServer
	client *http.Client
}

// call sends a request and returns the HTTP status and the answer, or status 0 if the request failed.
func (c *caller) call(ctx context.Context, method, path, key, fence string) (status int, a apprun.Answer) {
	req, err := http.NewRequestWithContext(ctx, method, "http://app"+path, strings.NewReader("body"))
	c.NoErr(err)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	if fence != "" {
		req.Header.Set("Fencing-Number", fence)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, a
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&a) // bodies of other responses are ignored
	return resp.StatusCode, a
}

func TestApplication(t *testing.T) {
	ctx := context.Background()
	for _, tc := range []struct {
		name, guards string
		opts         []apprun.Option
		run          func(c *caller)
	}{
		{"counts", "a second run that is not counted", nil, func(c *caller) {
			for want := range int64(2) {
				status, a := c.call(ctx, "POST", "/swaps//7/confirm", "k1", "")
				c.Equal(status, 200)
				c.Equal(a, apprun.Answer{
					Method: "POST", Path: "/swaps//7/confirm", Key: "k1", Run: want + 1,
					BodySHA256: "230d8358dc8e8890b4c58deeb62912ee2f20357ae92a5cc861b98e68fe31acb5",
				})
			}
			c.call(ctx, "PROPFIND", "/", "", "")
			c.call(ctx, "GET", "/", "", "")
			c.call(ctx, "GET", "/", "", "")
			c.Equal(c.Counts(), apprun.Counts{Runs: map[string]int64{"k1": 2, "": 3}, Total: 5, MaxRuns: 2})
		}},
		{"lost answer", "a lost answer to a call that did not run", nil, func(c *caller) {
			status, _ := c.call(ctx, "POST", "/admin/lose_answers?count=1", "", "")
			c.Equal(status, 204)
			status, _ = c.call(ctx, "POST", "/", "k1", "")
			c.Equal(status, 0)
			c.Equal(c.Runs("k1"), int64(1))
			status, _ = c.call(ctx, "POST", "/", "k2", "")
			c.Equal(status, 200)
		}},
		{"refusal", "a refused call that runs", nil, func(c *caller) {
			c.SetRefusing(true)
			status, _ := c.call(ctx, "POST", "/", "k1", "")
			c.Equal(status, 503)
			c.call(ctx, "POST", "/admin/refuse?on=false", "", "")
			c.Equal(c.Counts(), apprun.Counts{Runs: map[string]int64{}, Refused: 1})
		}},
		{"slow", "a call that does not run because its caller timed out", []apprun.Option{apprun.WithDelay(2 * time.Second)}, func(c *caller) {
			short, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			status, _ := c.call(short, "POST", "/", "k1", "")
			c.Equal(status, 0)
			c.Equal(c.Runs("k1"), int64(0))
			time.Sleep(2 * time.Second)
			c.Equal(c.Runs("k1"), int64(1))
		}},
		{"fencing checked", "a call with an outdated fencing number, sent by a former holder, that runs", nil, func(c *caller) {
			for _, call := range []struct {
				key, fence string
				want       int
			}{{"k1", "5", 200}, {"k1", "4", 409}, {"k1", "5", 200}, {"k2", "4", 200}, {"k1", "", 200}, {"k1", "x", 400}} {
				status, _ := c.call(ctx, "POST", "/", call.key, call.fence)
				c.Equal(status, call.want)
			}
			c.Equal(c.Counts().StaleFence, int64(1))
		}},
		{"fencing ignored", "an application with the fencing check disabled that still rejects calls", []apprun.Option{apprun.WithFencingCheck(false)}, func(c *caller) {
			c.call(ctx, "POST", "/", "k1", "5")
			status, _ := c.call(ctx, "POST", "/", "k1", "4")
			c.Equal(status, 200)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Log("guards against " + tc.guards)
			synctest.Test(t, func(t *testing.T) {
				p := host.NewPipe()
				c := &caller{I: is.New(t), AppServer: apprun.New(append(tc.opts, apprun.WithListener(p))...), client: p.Client()}
				c.NoErr(c.Start())
				defer c.Close()
				tc.run(c)
			})
		})
	}
}
