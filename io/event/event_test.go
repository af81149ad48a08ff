package event_test

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"snipeshed/io/event"
)

// TestStalledReader guards against a request that blocks because the reader of the log has stopped reading.
func TestStalledReader(t *testing.T) {
	// In virtual time the clock stands still unless every goroutine waits, so any wait of Emit shows.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, w := io.Pipe() // nobody reads
		defer r.Close()
		l := event.New(w, "edge-1", logrus.InfoLevel)
		begun := time.Now()
		for i := range 20_000 {
			l.Emit(event.Kind(fmt.Sprint("kind", i%400)), nil)
		}
		is.Equal(time.Since(begun), time.Duration(0))
		l.Close() // times out
		is.True(time.Since(begun) < time.Second)
	})
}

// buffer collects lines; it is safe for concurrent writes.
type buffer struct {
	mu sync.Mutex
	strings.Builder
}

// Write adds to the buffer.
func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Builder.Write(p)
}

// TestRate guards against an unlimited rate of lines, and against dropped lines that are not reported.
func TestRate(t *testing.T) {
	is := is.New(t)
	var out buffer
	l := event.New(&out, "edge-1", logrus.InfoLevel)
	for range 500 {
		l.EmitRequest(event.Answered, "r1", event.Fields{"status": 200})
	}
	time.Sleep(1100 * time.Millisecond)
	l.Emit(event.Started, nil)
	l.Close()
	is.True(strings.Count(out.String(), "msg=answered") <= 200) // two seconds at most
	is.True(strings.Contains(out.String(), "msg=lines_dropped"))
	is.True(strings.Contains(out.String(), "request=r1"))
	is.True(strings.Contains(out.String(), "instance=edge-1"))
}
