package event

import (
	"io"
	"sync"
	"sync/atomic"
)

// ringLines bounds the lines that wait for a slow reader of the output.
const ringLines = 1024

// ring hands lines to a writer of its own; lines that find no place are counted and dropped.
type ring struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
	closed  chan struct{}
}

func newRing(w io.Writer) *ring {
	r := &ring{lines: make(chan []byte, ringLines), done: make(chan struct{}), closed: make(chan struct{})}
	go r.write(w)
	return r
}

// Write takes a copy of a line; it never blocks and never fails.
func (r *ring) Write(line []byte) (int, error) {
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

func (r *ring) write(w io.Writer) {
	defer close(r.done)
	for {
		select {
		case line := <-r.lines:
			_, _ = w.Write(line) // there is nowhere to report a failed log line
		case <-r.closed:
			r.flush(w)
			return
		}
	}
}

func (r *ring) flush(w io.Writer) {
	for {
		select {
		case line := <-r.lines:
			_, _ = w.Write(line)
		default:
			return
		}
	}
}

// close writes the waiting lines and returns when they are out.
func (r *ring) close() {
	r.once.Do(func() { close(r.closed) })
	<-r.done
}
