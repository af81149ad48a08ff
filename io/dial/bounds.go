package dial

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"snipeshed/io/fold"
	"snipeshed/io/head"
)

const (
	maxHeadBytes = 32 << 10
	// maxHeadLines bounds the memory of a head, because a short line takes many times its size once it is parsed.
	maxHeadLines = 256
	// maxSkippedBytes and maxSkipTime bound the body of a response to another request.
	maxSkippedBytes = 256 << 10
	maxSkipTime     = time.Second
)

var (
	errHeadTooLong   = fmt.Errorf("the head of the endpoint's response exceeds %d bytes or %d lines", maxHeadBytes, maxHeadLines)
	errSkippedTooBig = fmt.Errorf("the endpoint's response to another request exceeds %d bytes or %v", maxSkippedBytes, maxSkipTime)
)

// headReader reads from a connection and fails when a head has used up its bytes or lines.
type headReader struct {
	r         io.Reader
	inHead    bool
	bytesLeft int
	linesLeft int
	folds     fold.Scanner
	foldErr   error // of the first folded line
}

// begin sets the limits of the head that is read next. The buffered bytes are read from the connection already.
func (h *headReader) begin(buffered []byte) {
	h.inHead, h.bytesLeft, h.linesLeft = true, maxHeadBytes, maxHeadLines
	h.folds = fold.Scanner{}
	h.foldErr = h.folds.Scan(buffered)
}

// end removes the limits for the body.
func (h *headReader) end() { h.inHead = false }

// Read reads from the connection.
func (h *headReader) Read(p []byte) (int, error) {
	if !h.inHead {
		return h.r.Read(p)
	}
	if h.bytesLeft <= 0 || h.linesLeft <= 0 {
		return 0, errHeadTooLong
	}
	n, err := h.r.Read(p[:min(len(p), h.bytesLeft)])
	h.bytesLeft -= n
	h.linesLeft -= bytes.Count(p[:n], []byte{'\n'})
	if h.foldErr == nil {
		h.foldErr = h.folds.Scan(p[:n])
	}
	return n, err
}

// readHead reads the status line and the headers of the next response, within the limits of a head.
func (c *conn) readHead(method string) (*http.Response, error) {
	buffered, _ := c.br.Peek(c.br.Buffered()) // peeking at buffered bytes cannot fail
	c.head.begin(buffered)
	defer c.head.end()
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	return resp, errors.Join(c.head.foldErr, head.Check(resp))
}

// skipBody reads the body of a response to another request, so that the next response can be read. It fails if no other
// response can follow, or not soon.
func (c *conn) skipBody(resp *http.Response) error {
	if resp.Close {
		return errMismatchedAnswer
	}
	if resp.ContentLength > maxSkippedBytes {
		return errSkippedTooBig
	}
	if err := c.SetReadDeadline(time.Now().Add(maxSkipTime)); err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes+1))
	if n > maxSkippedBytes || isTimeout(err) {
		return errSkippedTooBig
	}
	if err != nil {
		return err
	}
	return c.SetReadDeadline(c.ownAnswerBy)
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}
