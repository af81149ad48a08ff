package gate

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

const (
	initialEventBuffer = 1 << 10 // bytes
	maxEventBytes      = 256 << 10
)

// streamEvent is one server-sent event as the endpoint sent it, or the end of the stream.
type streamEvent struct {
	bytes []byte
	id    string
	err   error // io.EOF after a complete stream
}

// errPartialEvent is returned for a stream that ended in the middle of an event.
var errPartialEvent = errors.New("the endpoint's stream ended in the middle of an event")

// splitEvents is a bufio.SplitFunc that splits a stream of server-sent events, each of which ends with an empty line.
func splitEvents(data []byte, atEOF bool) (int, []byte, error) {
	for _, end := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.Index(data, end); i >= 0 {
			return i + len(end), data[:i+len(end)], nil
		}
	}
	if atEOF && len(data) > 0 {
		return 0, nil, errPartialEvent
	}
	return 0, nil, nil
}

// readEvents sends each event of a stream to out, and then the end of the stream; it stops when done is closed.
func readEvents(body io.Reader, out chan<- streamEvent, done <-chan struct{}) {
	s := bufio.NewScanner(body)
	s.Buffer(make([]byte, initialEventBuffer), maxEventBytes)
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

// eventID returns the id field of an event, or "" if it has none.
func eventID(b []byte) string {
	for line := range bytes.Lines(b) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}
