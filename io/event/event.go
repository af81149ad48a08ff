package event

import (
	"io"
	"runtime/debug"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"snipeshed/core"
)

const (
	// maxLinesPerSecond bounds the lines of each kind.
	maxLinesPerSecond = 100
	// closeTimeout bounds the wait of Close when the reader of the output has stalled.
	closeTimeout = 200 * time.Millisecond
)

// Log writes events as lines of key=value; it is safe for concurrent use.
type Log struct {
	log    *logrus.Logger
	writer *asyncWriter

	mu      sync.Mutex
	second  int64
	counts  map[Kind]int
	dropped map[Kind]int
}

// New returns a Log that writes to w.
func New(w io.Writer, instance core.InstanceID, level logrus.Level) *Log {
	l := &Log{writer: newAsyncWriter(w), counts: map[Kind]int{}, dropped: map[Kind]int{}}
	l.log = logrus.New()
	l.log.SetOutput(l.writer)
	l.log.SetLevel(level)
	l.log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "15:04:05.000"})
	l.log.AddHook(instanceHook{instance})
	return l
}

// instanceHook adds the instance to each line.
type instanceHook struct{ instance core.InstanceID }

// Levels returns all levels.
func (instanceHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire adds the instance to an entry.
func (h instanceHook) Fire(e *logrus.Entry) error {
	e.Data["instance"] = h.instance
	return nil
}

// Fields are the keys and values of a line, such as the inputs and the outcome of a decision.
type Fields = logrus.Fields

// Emit writes one line, or drops it if there were too many lines of its kind within a second.
func (l *Log) Emit(k Kind, f Fields) {
	if !l.allow(k) {
		return
	}
	l.log.WithFields(f).Info(string(k))
}

// EmitRequest writes one line about a request, with its id.
func (l *Log) EmitRequest(k Kind, id core.AttemptID, f Fields) {
	if f == nil {
		f = Fields{}
	}
	f["request"] = id
	l.Emit(k, f)
}

// Recover ends a panic of the goroutine that defers it and logs it with its stack; what names the work that is given up. It
// keeps one malformed message or unexpected error from ending the process.
func (l *Log) Recover(what string) {
	if v := recover(); v != nil {
		l.Emit(Panicked, Fields{"while": what, "error": v, "stack": string(debug.Stack())})
	}
}

// allow reports whether a line is within the rate limit of its kind. Once per second it logs how many lines were dropped.
func (l *Log) allow(k Kind) bool {
	second := time.Now().Unix()
	l.mu.Lock()
	var dropped map[Kind]int
	if second != l.second {
		if len(l.dropped) > 0 {
			dropped = l.dropped
			l.dropped = map[Kind]int{}
		}
		l.second = second
		clear(l.counts)
	}
	l.counts[k]++
	ok := l.counts[k] <= maxLinesPerSecond
	if !ok {
		l.dropped[k]++
	}
	l.mu.Unlock()
	for kind, n := range dropped {
		l.log.WithFields(Fields{"of": kind, "lines": n}).Warn(string(LinesDropped))
	}
	if n := l.writer.dropped.Swap(0); n > 0 {
		l.log.WithFields(Fields{"of": "output", "lines": n}).Warn(string(LinesDropped))
	}
	return ok
}

// Close writes the queued lines, but waits at most closeTimeout, in case the reader of the output has stalled.
func (l *Log) Close() {
	done := make(chan struct{})
	go func() {
		l.writer.close()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(closeTimeout):
	}
}
