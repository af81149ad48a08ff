package event

import (
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"snipeshed/core"
)

const (
	// linesPerSecond bounds the lines of one kind.
	linesPerSecond = 100
	// closeWait bounds the wait for a reader that takes no more lines at the end of the process.
	closeWait = 200 * time.Millisecond
)

// Log writes events as lines of key=value; it is safe for concurrent use.
type Log struct {
	log  *logrus.Logger
	ring *ring

	mu     sync.Mutex
	second int64
	counts map[Kind]int
	cut    map[Kind]int
}

// New returns a Log that writes to w.
func New(w io.Writer, instance core.InstanceID, level logrus.Level) *Log {
	l := &Log{ring: newRing(w), counts: map[Kind]int{}, cut: map[Kind]int{}}
	l.log = logrus.New()
	l.log.SetOutput(l.ring)
	l.log.SetLevel(level)
	l.log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "15:04:05.000"})
	l.log.AddHook(named{instance})
	return l
}

// named adds the instance to each line.
type named struct{ instance core.InstanceID }

// Levels returns all levels.
func (named) Levels() []logrus.Level { return logrus.AllLevels }

// Fire adds the name.
func (n named) Fire(e *logrus.Entry) error {
	e.Data["instance"] = n.instance
	return nil
}

// Fields are the inputs and the outcome of a decision.
type Fields = logrus.Fields

// Emit writes one line of a kind.
func (l *Log) Emit(k Kind, f Fields) {
	if !l.take(k) {
		return
	}
	l.log.WithFields(f).Info(string(k))
}

// Request writes one line about a caller's request.
func (l *Log) Request(k Kind, id core.AttemptID, f Fields) {
	if f == nil {
		f = Fields{}
	}
	f["request"] = id
	l.Emit(k, f)
}

// take counts a line against the rate of its kind and reports the lines that were left out once per second.
func (l *Log) take(k Kind) bool {
	second := time.Now().Unix()
	l.mu.Lock()
	var cut map[Kind]int
	if second != l.second {
		if len(l.cut) > 0 {
			cut = l.cut
			l.cut = map[Kind]int{}
		}
		l.second = second
		clear(l.counts)
	}
	l.counts[k]++
	ok := l.counts[k] <= linesPerSecond
	if !ok {
		l.cut[k]++
	}
	l.mu.Unlock()
	for kind, n := range cut {
		l.log.WithFields(Fields{"of": kind, "lines": n}).Warn(string(LinesDropped))
	}
	if n := l.ring.dropped.Swap(0); n > 0 {
		l.log.WithFields(Fields{"of": "output", "lines": n}).Warn(string(LinesDropped))
	}
	return ok
}

// Close writes the waiting lines, or gives up when nobody reads them.
func (l *Log) Close() {
	done := make(chan struct{})
	go func() {
		l.ring.close()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(closeWait):
	}
}
