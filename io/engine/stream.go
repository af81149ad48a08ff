package engine

import (
	"fmt"
	"io"

	"snipeshed/core"
	"snipeshed/io/line"
)

// eventStream reads the events of a generation from a response body.
type eventStream struct {
	body    io.ReadCloser
	lines   *line.Reader
	leaving bool
	// acceptedID is the generation's id from the response headers; it is empty once Next has returned it.
	acceptedID core.GenerationID
}

func newStream(body io.ReadCloser, leaving bool, accepted core.GenerationID) *eventStream {
	return &eventStream{body: body, leaving: leaving, acceptedID: accepted, lines: line.NewReader(body)}
}

// Next returns the next event, or io.EOF after the last one.
func (s *eventStream) Next() (core.Event, error) {
	var ev core.Event
	if s.acceptedID != "" {
		ev = core.Event{GenerationID: s.acceptedID, Accepted: true, Leaving: s.leaving}
		s.acceptedID = ""
		return ev, nil
	}
	b, err := s.lines.Next()
	if err != nil {
		return ev, err
	}
	if err := line.DecodeEvent(b, &ev); err != nil {
		return ev, fmt.Errorf("decode stream line: %w", err)
	}
	ev.Leaving = s.leaving && ev.GenerationID != ""
	ev.More = s.lines.HasLine()
	return ev, nil
}

// Close closes the connection; it does not cancel the generation.
func (s *eventStream) Close() error { return s.body.Close() }
