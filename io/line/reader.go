package line

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

const (
	// bufferBytes is the buffer size of a Reader; it holds several token lines. Each open stream has one buffer.
	bufferBytes = 1 << 10
	// maxLineBytes bounds the memory of a stream; a line has one token or a short message.
	maxLineBytes = 256 << 10
	// maxEmptyLines bounds the lines that are skipped before one with text.
	maxEmptyLines = 1 << 10
)

// ErrTooLong is the error of a stream with a line that is too long, or with too many empty lines in a row.
var ErrTooLong = fmt.Errorf("the stream has a line of more than %d bytes or %d empty lines", maxLineBytes, maxEmptyLines)

// Reader splits a stream into lines.
type Reader struct {
	r        *bufio.Reader
	longLine []byte
}

// NewReader returns a Reader of a stream.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReaderSize(r, bufferBytes)} }

// Next returns the next non-empty line with its newline; the slice is valid until the next call.
func (r *Reader) Next() ([]byte, error) {
	for range maxEmptyLines + 1 {
		b, err := r.readLine()
		if err != nil || len(b) > 1 {
			return b, err
		}
	}
	return nil, ErrTooLong
}

func (r *Reader) readLine() ([]byte, error) {
	part, err := r.r.ReadSlice('\n')
	if err == nil {
		return part, nil
	}
	r.longLine = r.longLine[:0]
	for errors.Is(err, bufio.ErrBufferFull) {
		r.longLine = append(r.longLine, part...)
		if len(r.longLine) > maxLineBytes {
			return nil, ErrTooLong
		}
		part, err = r.r.ReadSlice('\n')
	}
	if errors.Is(err, io.EOF) && len(part)+len(r.longLine) > 0 {
		return nil, io.ErrUnexpectedEOF
	}
	return append(r.longLine, part...), err
}

// HasLine reports whether the buffer holds a complete line, so that Next returns it without reading from the stream.
func (r *Reader) HasLine() bool {
	b, _ := r.r.Peek(r.r.Buffered()) // peeking at buffered bytes cannot fail
	return bytes.IndexByte(b, '\n') > 0
}
