package line

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// bufferBytes is the buffer size of a Reader; it holds several token lines. Each open stream has one buffer.
const bufferBytes = 1 << 10

// Reader splits a stream into lines of any length.
type Reader struct {
	r        *bufio.Reader
	longLine []byte
}

// NewReader returns a Reader of a stream.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReaderSize(r, bufferBytes)} }

// Next returns the next non-empty line with its newline; the slice is valid until the next call.
func (r *Reader) Next() ([]byte, error) {
	for {
		b, err := r.readLine()
		if err != nil || len(b) > 1 {
			return b, err
		}
	}
}

func (r *Reader) readLine() ([]byte, error) {
	part, err := r.r.ReadSlice('\n')
	if err == nil {
		return part, nil
	}
	r.longLine = r.longLine[:0]
	for errors.Is(err, bufio.ErrBufferFull) {
		r.longLine = append(r.longLine, part...)
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
