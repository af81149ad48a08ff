package gate

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

const (
	firstEventBuffer = 1 << 10
	maxEventBytes    = 256 << 10
)

// streamEvent is one event as the endpoint wrote it, or the end of the stream.
type streamEvent struct {
	bytes []byte
	id    string
	err   error // io.EOF after a complete stream
}

// errPartial means that the stream ended within an event.
var errPartial = errors.New("the stream ended within an event")

// splitEvents is a bufio.SplitFunc for events that end with an empty line.
func splitEvents(data []byte, atEOF bool) (int, []byte, error) {
	for _, end := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.Index(data, end); i >= 0 {
			return i + len(end), data[:i+len(end)], nil
		}
	}
	if atEOF && len(data) > 0 {
		return 0, nil, errPartial
	}
	return 0, nil, nil
}

// readEvents sends each event of a stream and then its end, until done is closed.
func readEvents(body io.Reader, out chan<- streamEvent, done <-chan struct{}) {
	s := bufio.NewScanner(body)
	s.Buffer(make([]byte, firstEventBuffer), maxEventBytes)
	s.Split(splitEvents)
	send := func(e streamEvent) bool {
		select {
		case out <- e:
			return true
		case <-done:
			return false
		}
	}
	for s.Scan() {
		b := append([]byte(nil), s.Bytes()...)
		if !send(streamEvent{bytes: b, id: eventID(b)}) {
			return
		}
	}
	err := s.Err()
	if err == nil {
		err = io.EOF
	}
	send(streamEvent{err: err})
}

// eventID returns the id of an event, or "".
func eventID(b []byte) string {
	for line := range bytes.Lines(b) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}
