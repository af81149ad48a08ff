package event

import (
	"io"
	"sync"
	"sync/atomic"
)

// maxQueuedLines bounds the lines queued for a slow reader of the output.
const maxQueuedLines = 1024

// asyncWriter queues lines for a goroutine that writes them. When the queue is full, it drops and counts them.
type asyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
	closed  chan struct{}
}

func newAsyncWriter(w io.Writer) *asyncWriter {
	a := &asyncWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}), closed: make(chan struct{})}
	go a.writeLines(w)
	return a
}

// Write queues a copy of a line, or drops it if the queue is full; it neither blocks nor fails.
func (a *asyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

func (a *asyncWriter) writeLines(w io.Writer) {
	defer close(a.done)
	for {
		select {
		case line := <-a.lines:
			_, _ = w.Write(line) // there is nowhere to report a failed log line
		case <-a.closed:
			a.flush(w)
			return
		}
	}
}

func (a *asyncWriter) flush(w io.Writer) {
	for {
		select {
		case line := <-a.lines:
			_, _ = w.Write(line)
		default:
			return
		}
	}
}

// close writes the queued lines and returns when they are written.
func (a *asyncWriter) close() {
	a.once.Do(func() { close(a.closed) })
	<-a.done
}
