package engine

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"snipeshed/core"
)

// bufferBytes holds several token lines; one buffer is kept per open stream.
const bufferBytes = 2048

type stream struct {
	body    io.ReadCloser
	r       *bufio.Reader
	long    []byte
	leaving bool
	// accepted is the generation that the headers name, until Next has told it.
	accepted core.GenerationID
}

func newStream(body io.ReadCloser, leaving bool, accepted core.GenerationID) *stream {
	return &stream{body: body, leaving: leaving, accepted: accepted, r: bufio.NewReaderSize(body, bufferBytes)}
}

// Next returns the next event, or io.EOF after the last.
func (s *stream) Next() (core.Event, error) {
	var ev core.Event
	if s.accepted != "" {
		ev = core.Event{GenerationID: s.accepted, Accepted: true, Leaving: s.leaving}
		s.accepted = ""
		return ev, nil
	}
	for {
		line, err := s.line()
		if err != nil {
			return ev, err
		}
		if len(line) <= 1 {
			continue
		}
		if err := json.Unmarshal(line, &ev); err != nil {
			return ev, fmt.Errorf("decode stream line: %w", err)
		}
		ev.Leaving = s.leaving && ev.GenerationID != ""
		return ev, nil
	}
}

// line returns the next line, which is valid until the next call.
func (s *stream) line() ([]byte, error) {
	part, err := s.r.ReadSlice('\n')
	if err == nil {
		return part, nil
	}
	s.long = s.long[:0]
	for errors.Is(err, bufio.ErrBufferFull) {
		s.long = append(s.long, part...)
		part, err = s.r.ReadSlice('\n')
	}
	if errors.Is(err, io.EOF) && len(part) > 0 {
		return nil, io.ErrUnexpectedEOF
	}
	return append(s.long, part...), err
}

// Close ends reading; it does not cancel the generation.
func (s *stream) Close() error { return s.body.Close() }
