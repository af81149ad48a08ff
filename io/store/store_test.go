package store_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/io/link"
	"snipeshed/io/store"
	"snipeshed/stand/objs"
)

func newStore(t *testing.T, url string, change ...func(*conf.Settings)) *store.Store {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	cfg := &conf.Settings{PlatformUrl: url, StoreTimeoutMs: 150, BreakerFailures: 2, BreakerRetryMs: 100, DialTimeoutMs: 100}
	for _, fn := range change {
		fn(cfg)
	}
	s := store.New(core.NewCommon(logrus.NewEntry(log)), cfg, link.New(cfg))
	t.Cleanup(s.Close)
	return s
}

func newStoreWithServer(t *testing.T, h http.HandlerFunc, change ...func(*conf.Settings)) *store.Store {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return newStore(t, srv.URL, change...)
}

func statusHandler(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

// TestWriteEffect guards against reporting "not run" to a client for a write that may have taken effect, and "unknown"
// for a request that provably was not processed.
func TestWriteEffect(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request) { _, _ = io.ReadAll(r.Body); <-r.Context().Done() }
	reset := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		c, _, _ := w.(http.Hijacker).Hijack()
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	for name, c := range map[string]struct {
		h      http.HandlerFunc
		effect core.Effect
		is     error
	}{
		"conflict":           {statusHandler(412), core.EffectNone, core.ErrVersionMismatch},
		"missing":            {statusHandler(404), core.EffectNone, core.ErrNotFound},
		"rate limit":         {statusHandler(429), core.EffectNone, nil},
		"bad request":        {statusHandler(400), core.EffectNone, nil},
		"server error":       {statusHandler(500), core.EffectUnknown, nil},
		"unavailable":        {statusHandler(503), core.EffectUnknown, nil},
		"redirect":           {statusHandler(307), core.EffectUnknown, nil},
		"no answer in time":  {hang, core.EffectUnknown, context.DeadlineExceeded},
		"connection reset":   {reset, core.EffectUnknown, nil},
		"answer without tag": {statusHandler(200), core.EffectUnknown, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := newStoreWithServer(t, c.h).Put(t.Context(), "a/b", []byte("v"), 0)
			var e *core.StoreError
			is.True(errors.As(err, &e))
			is.Equal(e.Effect, c.effect)
			is.True(c.is == nil || errors.Is(err, c.is))
		})
	}
	t.Run("refused connection", func(t *testing.T) {
		is := is.New(t)
		srv := httptest.NewServer(statusHandler(200))
		srv.Close()
		_, err := newStore(t, srv.URL).Put(t.Context(), "a", nil, 1)
		is.True(err != nil && !core.MayHaveTakenEffect(err))
	})
	t.Run("canceled before the call", func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := newStoreWithServer(t, statusHandler(200)).Put(ctx, "a", nil, 1)
		is.True(err != nil && !core.MayHaveTakenEffect(err))
	})
}

// TestWriteIsSentOnce guards against resending a write after the server closed its connection, which could execute it
// twice.
func TestWriteIsSentOnce(t *testing.T) {
	is := is.New(t)
	var puts atomic.Int64
	s := newStoreWithServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			w.Header().Set("ETag", `"1"`)
			return
		}
		puts.Add(1)
		_, _ = io.ReadAll(r.Body)
		c, _, _ := w.(http.Hijacker).Hijack()
		c.Close()
	})
	_, err := s.Get(t.Context(), "a") // the PUT then reuses this connection
	is.NoErr(err)
	_, err = s.Put(t.Context(), "a", []byte("v"), 1)
	is.True(core.MayHaveTakenEffect(err))
	is.Equal(puts.Load(), int64(1))
}

// TestBreaker guards against further calls to a store that is down, and against a write as the probe of a recovering
// store.
func TestBreaker(t *testing.T) {
	is := is.New(t)
	var broken atomic.Bool
	var writes atomic.Int64
	broken.Store(true)
	s := newStoreWithServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			writes.Add(1)
		}
		if broken.Load() {
			w.WriteHeader(503)
			return
		}
		w.Header().Set("ETag", `"7"`)
		_, _ = io.WriteString(w, `{"revision":7,"objects":[]}`)
	})
	for range 2 {
		_, err := s.Put(t.Context(), "a", nil, 0)
		is.True(core.MayHaveTakenEffect(err))
	}
	is.True(!s.Reachable())
	_, err := s.Put(t.Context(), "a", nil, 0)
	is.True(err != nil && !core.MayHaveTakenEffect(err)) // refused by the breaker
	for !s.Reachable() {
		time.Sleep(5 * time.Millisecond)
	}
	_, err = s.Put(t.Context(), "a", nil, 0)
	is.True(err != nil && !core.MayHaveTakenEffect(err)) // the probe before it failed
	is.Equal(writes.Load(), int64(2))
	broken.Store(false)
	for !s.Reachable() {
		time.Sleep(5 * time.Millisecond)
	}
	v, err := s.Put(t.Context(), "a", nil, 0)
	is.NoErr(err)
	is.Equal(v, core.Version(7))
	n := s.Counts()
	is.Equal([]int64{n["put"], n["list"], n["refused"], n["failed"]}, []int64{3, 2, 1, 3})
}

// TestBreakerCountsAfterCallerGaveUp guards against a breaker that stays closed because the callers' contexts end before the
// store timeout, and against one that opens because they end although the store answers.
func TestBreakerCountsAfterCallerGaveUp(t *testing.T) {
	const callerTimeout = 20 * time.Millisecond
	for name, c := range map[string]struct {
		delay time.Duration // of the store's answers
		put   bool
		down  bool
	}{
		"writes, no answer":          {delay: time.Minute, put: true, down: true},
		"reads, no answer":           {delay: time.Minute, down: true},
		"writes, answer after 80 ms": {delay: 80 * time.Millisecond, put: true},
		"reads, answer after 80 ms":  {delay: 80 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var answered, writes atomic.Int64
			unknown := int64(0)
			s := newStoreWithServer(t, func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.ReadAll(r.Body); err == nil && r.Method == http.MethodPut {
					writes.Add(1)
				}
				select {
				case <-time.After(c.delay):
				case <-r.Context().Done():
					return
				}
				w.Header().Set("ETag", `"1"`)
				answered.Add(1)
			}, func(cfg *conf.Settings) {
				if !c.down {
					cfg.StoreTimeoutMs, cfg.DialTimeoutMs = 5000, 5000 // a busy machine may answer later than the delay
				}
			})
			for range 6 {
				ctx, cancel := context.WithTimeout(t.Context(), callerTimeout)
				var err error
				if c.put {
					_, err = s.Put(ctx, "a", nil, 0)
				} else {
					_, err = s.Get(ctx, "a")
				}
				cancel()
				is.True(errors.Is(err, context.DeadlineExceeded))
				if core.MayHaveTakenEffect(err) {
					unknown++
				}
			}
			for began := time.Now(); s.Reachable() == c.down || (!c.down && answered.Load() < 6); {
				if time.Since(began) > 5*time.Second {
					t.Fatalf("up %t, %d calls answered", s.Reachable(), answered.Load())
				}
				time.Sleep(time.Millisecond)
			}
			is.True(c.down || s.Counts()["failed"] == 0)
			// On a busy machine a caller's context can end before its write has a connection; the write then has no effect.
			is.True(writes.Load() <= unknown)
		})
	}
}

// TestReads guards against a client that deviates from the published protocol.
func TestReads(t *testing.T) {
	is := is.New(t)
	s := newStoreWithServer(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/v1/objects":
			is.Equal(r.URL.RawQuery, "after=t%2F1&limit=5&prefix=t%2F")
			_, _ = io.WriteString(w, `{"revision":9,"objects":[{"key":"t/2","value":"aGk=","version":8}]}`)
		case "/v1/instances":
			_, _ = io.WriteString(w, `{"revision":3,"instances":[{"id":"i","failure_domain":"a","kind":"endpoint","state":"live"}]}`)
		default:
			w.Header().Set("ETag", `"8"`)
			_, _ = io.WriteString(w, r.URL.Path)
		}
	})
	o, err := s.Get(t.Context(), "t/2")
	is.NoErr(err)
	is.Equal(o, core.Object{Key: "t/2", Value: []byte("/v1/objects/t/2"), Version: 8})
	list, rev, err := s.List(t.Context(), "t/", "t/1", 5)
	is.NoErr(err)
	is.Equal(list, []core.Object{{Key: "t/2", Value: []byte("hi"), Version: 8}})
	is.Equal(rev, core.Version(9))
	instances, rev, err := s.Instances(t.Context(), 1)
	is.NoErr(err)
	is.Equal(instances[0].GetFailureDomain(), "a")
	is.Equal(rev, core.Version(3))
}

// TestWatch guards against a watch that misses changes, or does not end on a connection without heartbeats.
func TestWatch(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	s := newStoreWithServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprintf(w, "\n%s\n%s\n", `{"key":"t/1","value":"aGk=","version":4}`, `{"key":"t/1","version":5,"deleted":true}`)
		w.(http.Flusher).Flush()
		<-r.Context().Done() // no heartbeats from here on
		close(closed)
	})
	var got []string
	start := time.Now()
	err := s.Watch(t.Context(), "t/", 3, func(c *core.Change) error {
		got = append(got, fmt.Sprint(c))
		return nil
	})
	is.True(err != nil)
	is.Equal(got, []string{"<nil>", "&{{t/1 [104 105] 4} false}", "&{{t/1 [] 5} true}"})
	is.True(time.Since(start) < 4*time.Second) // three heartbeats of one second
	<-closed
}

// TestStandIn guards against differences in the protocol between the client and the stand-in of the object API.
func TestStandIn(t *testing.T) {
	is := is.New(t)
	api := objs.New()
	is.NoErr(api.Start())
	t.Cleanup(func() { is.NoErr(api.Close()) })
	api.SetInstance(objs.Instance{ID: "i", Address: "127.0.0.1:1", FailureDomain: "a", Kind: "snipeshed", State: "leaving"})
	s := newStore(t, api.URL())
	api.LoseAnswers(1, "t/2")
	first, err := s.Put(t.Context(), "t/1", []byte("v"), 0)
	is.NoErr(err)
	_, err = s.Put(t.Context(), "t/2", []byte{0, 255}, 0)
	is.True(core.MayHaveTakenEffect(err))
	_, err = s.Put(t.Context(), "t/1", []byte("w"), first+100)
	is.True(errors.Is(err, core.ErrVersionMismatch) && !core.MayHaveTakenEffect(err))
	_, err = s.Put(t.Context(), "t/3", make([]byte, 2<<20), 0)
	is.True(err != nil && !core.MayHaveTakenEffect(err))
	_, err = s.Get(t.Context(), "t/3")
	is.True(errors.Is(err, core.ErrNotFound))
	list, rev, err := s.List(t.Context(), "t/", "t/1", 10)
	is.NoErr(err)
	is.Equal(len(list), 1)
	is.Equal(list[0].Value, []byte{0, 255})
	second, err := s.Get(t.Context(), "t/2")
	is.NoErr(err)
	is.Equal(second, list[0])
	is.NoErr(s.Delete(t.Context(), "t/1", first))
	stop := errors.New("seen")
	err = s.Watch(t.Context(), "t/", rev, func(c *core.Change) error {
		if c == nil {
			return nil
		}
		is.Equal(c.Key, "t/1")
		is.True(c.Deleted && c.Version > rev)
		return stop
	})
	is.True(errors.Is(err, stop))
	instances, _, err := s.Instances(t.Context(), 0)
	is.NoErr(err)
	is.Equal(instances[0].GetState(), "leaving")
}

// TestHistoryGone guards against a watch that reports discarded history like an outage.
func TestHistoryGone(t *testing.T) {
	is := is.New(t)
	for code, gone := range map[int]bool{410: true, 404: false, 503: false} {
		err := newStoreWithServer(t, statusHandler(code)).Watch(t.Context(), "tickets/", 1, func(*core.Change) error { return nil })
		is.Equal(errors.Is(err, core.ErrHistoryGone), gone)
	}
}
