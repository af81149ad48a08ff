package line

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// bufferBytes holds several token lines; one buffer is kept per open stream.
const bufferBytes = 1 << 10

// Reader splits a stream into lines of any length.
type Reader struct {
	r    *bufio.Reader
	long []byte
}

// NewReader returns a Reader of a stream.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReaderSize(r, bufferBytes)} }

// Next returns the next line that is not empty, with its end; it is valid until the next call.
func (r *Reader) Next() ([]byte, error) {
	for {
		b, err := r.line()
		if err != nil || len(b) > 1 {
			return b, err
		}
	}
}

func (r *Reader) line() ([]byte, error) {
	part, err := r.r.ReadSlice('\n')
	if err == nil {
		return part, nil
	}
	r.long = r.long[:0]
	for errors.Is(err, bufio.ErrBufferFull) {
		r.long = append(r.long, part...)
		part, err = r.r.ReadSlice('\n')
	}
	if errors.Is(err, io.EOF) && len(part)+len(r.long) > 0 {
		return nil, io.ErrUnexpectedEOF
	}
	return append(r.long, part...), err
}

// Ready reports whether a line is known to wait, so that Next returns it without reading from the stream.
func (r *Reader) Ready() bool {
	b, _ := r.r.Peek(r.r.Buffered()) // what is buffered can be peeked
	return bytes.IndexByte(b, '\n') > 0
}
