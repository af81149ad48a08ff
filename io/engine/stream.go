package engine

import (
	"fmt"
	"io"

	"snipeshed/core"
	"snipeshed/io/line"
)

type stream struct {
	body    io.ReadCloser
	lines   *line.Reader
	leaving bool
	// accepted is the generation that the headers name, until Next has told it.
	accepted core.GenerationID
}

func newStream(body io.ReadCloser, leaving bool, accepted core.GenerationID) *stream {
	return &stream{body: body, leaving: leaving, accepted: accepted, lines: line.NewReader(body)}
}

// Next returns the next event, or io.EOF after the last.
func (s *stream) Next() (core.Event, error) {
	var ev core.Event
	if s.accepted != "" {
		ev = core.Event{GenerationID: s.accepted, Accepted: true, Leaving: s.leaving}
		s.accepted = ""
		return ev, nil
	}
	b, err := s.lines.Next()
	if err != nil {
		return ev, err
	}
	if err := line.Event(b, &ev); err != nil {
		return ev, fmt.Errorf("decode stream line: %w", err)
	}
	ev.Leaving = s.leaving && ev.GenerationID != ""
	ev.More = s.lines.Ready()
	return ev, nil
}

// Close ends reading; it does not cancel the generation.
func (s *stream) Close() error { return s.body.Close() }
