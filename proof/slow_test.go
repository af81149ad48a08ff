package proof

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/conf"
	"snipeshed/stand/batch"
	"snipeshed/stand/caller"
	"snipeshed/stand/fleet"
	"snipeshed/stand/runner"
)

// TestSlowClients guards against clients that read slowly or stop reading and thereby delay other streams of the same
// owner, fill an instance's memory or keep engines busy for good. It does not run in parallel, since it measures memory.
func TestSlowClients(t *testing.T) {
	is := is.New(t)
	const (
		stopped      = 5
		writeTimeout = 6 * time.Second
		// pause ends before the kernel's retransmissions are 3.2 s apart, which would end after the write timeout.
		pause = 2500 * time.Millisecond
		// heapPerStream bounds what all instances together keep for a stream whose client stopped reading.
		heapPerStream = 3 << 20
	)
	w := start(t, fleet.WithRunners(runner.WithSpeed(5), runner.WithKeep(100*time.Millisecond), runner.WithBatch(batch.Config{KVCapacity: 1 << 20})), fleet.WithoutLinks(),
		fleet.WithSettings(func(s *conf.Settings) { s.WriteTimeoutMs = writeTimeout.Milliseconds() }))
	_, entry := w.owner()
	client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err == nil {
			err = c.(*net.TCPConn).SetReadBuffer(256 << 10) // below the size of a segment on loopback, reading takes minutes
		}
		return c, err
	}}}
	defer client.CloseIdleConnections()
	// At least 16 MB each, more than the kernel's buffers hold.
	long := func(output int) ask { return ask{Output: output, Mark: caller.NewMark() + strings.Repeat("x", 16_000)} }
	heap := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}

	before := heap()
	release := make(chan struct{})
	free := sync.OnceFunc(func() { close(release) })
	defer free() // also when the test fails before
	var calls, reading sync.WaitGroup
	for range stopped {
		q := long(30_000)
		reading.Add(1)
		reads := sync.OnceFunc(reading.Done)
		q.At, q.Then = 20, func() { reads(); <-release }
		calls.Go(func() {
			defer reads() // also when it failed early
			caller.Chat(client, entry.ClientAddress(), &q)
		})
	}
	reading.Wait()

	// One client pauses for less than the timeout, but until its generation can no longer be resumed; others read as usual meanwhile.
	var paused answer
	slow := long(1000)
	var goesOn atomic.Bool
	slow.At, slow.Then = 20, func() {
		time.Sleep(pause)
		goesOn.Store(true)
	}
	calls.Go(func() {
		defer goesOn.Store(true) // also when it failed early
		paused = caller.Chat(client, entry.ClientAddress(), &slow)
	})
	most := int64(0)
	calls.Go(func() {
		for !goesOn.Load() { // what it reads afterwards is kept by the test
			most = max(most, heap()-before)
			time.Sleep(50 * time.Millisecond)
		}
	})
	began, longest := time.Now(), time.Duration(0)
	for w.Canceled() < stopped && time.Since(began) < 2*startLimit {
		q := ask{Output: 1000, Mark: caller.NewMark()}
		a := w.chat(entry, q)
		is.NoErr(a.Complete(q))
		longest = max(longest, a.Gap)
	}
	took := time.Since(began)
	is.Equal(w.Canceled(), stopped)
	free()
	calls.Wait()
	t.Logf("%d clients stopped reading: longest gap of others %s, heap at most %d KiB for each, generations canceled after %s; paused client: %s",
		stopped, longest, most/stopped/1024, took, paused)
	is.NoErr(paused.Complete(slow))
	is.True(longest < resumeSlack)
	is.True(most/stopped < heapPerStream)
	is.NoErr(fleet.Wait(startLimit, "streams ended", func() bool {
		return w.OpenStreams() == 0
	}))
}
