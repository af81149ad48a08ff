package gate

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

const (
	initialEventBuffer = 1 << 10 // bytes
	// maxEventBytes bounds the buffer of a stream; 890 calls may be open in 120 MB.
	maxEventBytes = 32 << 10
)

// streamEvent is one server-sent event as the endpoint sent it, or the end of the stream.
type streamEvent struct {
	bytes []byte
	id    string
	err   error // io.EOF after a complete stream
}

// errPartialEvent is returned for a stream that ended in the middle of an event.
var errPartialEvent = errors.New("the endpoint's stream ended in the middle of an event")

// errNotEvent is returned for a stream with a line that no event has, such as the head or the text of an error that the endpoint
// wrote into it.
var errNotEvent = errors.New("the endpoint's stream has a line that belongs to no event")

// errEventTooLong is returned for a stream with an event that is larger than maxEventBytes or has no end.
var errEventTooLong = fmt.Errorf("an event of the endpoint's stream exceeds %d bytes", maxEventBytes)

// eventSplitter splits a stream of server-sent events, each of which ends with an empty line. Lines end with a line feed, with
// or without a carriage return before it. Empty lines before an event belong to it.
type eventSplitter struct {
	searched  int  // bytes of the current event that were searched for line ends
	lineStart int  // where the line that is not yet complete starts
	hasText   bool // the current event has a line that is not empty
}

// split is a bufio.SplitFunc.
func (s *eventSplitter) split(data []byte, atEOF bool) (int, []byte, error) {
	for {
		i := bytes.IndexByte(data[s.searched:], '\n')
		if i < 0 {
			break
		}
		line := bytes.TrimSuffix(data[s.lineStart:s.searched+i], []byte{'\r'})
		s.searched += i + 1
		s.lineStart = s.searched
		if !isEventLine(line) {
			return 0, nil, errNotEvent
		}
		if len(line) == 0 && s.hasText {
			return s.endEvent(data[:s.searched])
		}
		s.hasText = s.hasText || len(line) > 0
	}
	s.searched = len(data)
	switch {
	case !atEOF || len(data) == 0:
		return 0, nil, nil
	case s.hasText || s.lineStart < len(data):
		return 0, nil, errPartialEvent
	default:
		return s.endEvent(data) // only empty lines after the last event
	}
}

// isEventLine reports whether a line may stand in an event: it is blank, a comment, or starts with the name of a field. Names
// that the gate does not know belong to extensions of the endpoint.
func isEventLine(line []byte) bool {
	name, _, _ := bytes.Cut(bytes.TrimSpace(line), []byte{':'})
	for _, b := range name {
		if !isNameByte(b) {
			return false
		}
	}
	return true
}

func isNameByte(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || b == '-' || b == '_'
}

func (s *eventSplitter) endEvent(b []byte) (int, []byte, error) {
	*s = eventSplitter{}
	return len(b), b, nil
}

// readEvents sends each event of a stream to out, and then the end of the stream; it stops when done is closed.
func readEvents(body io.Reader, out chan<- streamEvent, done <-chan struct{}) {
	s := bufio.NewScanner(body)
	s.Buffer(make([]byte, initialEventBuffer), maxEventBytes)
	s.Split(new(eventSplitter).split)
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
	send(streamEvent{err: endOfStream(s.Err())})
}

// endOfStream returns how a stream ended, given the error of its scanner.
func endOfStream(err error) error {
	switch {
	case err == nil:
		return io.EOF
	case errors.Is(err, bufio.ErrTooLong):
		return errEventTooLong
	default:
		return err
	}
}

// hasData reports whether an event has a data field; a comment that keeps the connection open has none.
func (e streamEvent) hasData() bool {
	for line := range bytes.Lines(e.bytes) {
		name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte{':'})
		if string(name) == "data" {
			return true
		}
	}
	return false
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
