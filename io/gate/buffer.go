package gate

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"snipeshed/core"
	"snipeshed/io/dial"
)

const (
	// maxBufferedBytes is the size up to which a response is buffered before any of it is relayed, so that after a broken one
	// the call can be retried or answered with an error.
	maxBufferedBytes = 256 << 10
	// minBufferedBytes is that size while the buffered responses of all calls take more memory than they may.
	minBufferedBytes = 16 << 10
	// maxRelayedBytes is the size at which a response is taken for one without end.
	maxRelayedBytes = 64 << 20
	// maxFailureBytes and maxFailureTime bound the body of an answer to a stream's request that is no stream.
	maxFailureBytes = 64 << 10
	maxFailureTime  = time.Second
)

var (
	// errFailureTooLong is the error of an answer that is not relayed as it arrives, since another attempt may follow.
	errFailureTooLong = errors.New("the endpoint's failure or late answer is too large to buffer")
	errFailureTooSlow = fmt.Errorf("the body of the endpoint's failure took longer than %v", maxFailureTime)
	errAnswerTooLong  = fmt.Errorf("the endpoint's answer exceeds %d bytes", maxRelayedBytes)
)

// bufferedAnswer is an endpoint's response whose body was read, to its end or until it was too large to buffer.
type bufferedAnswer struct {
	*dial.Answer
	body    []byte
	partial bool          // more of the body may follow
	readErr error         // why the body could not be read to its end
	attempt *attempt      // of a partial answer; it ends when the rest is relayed
	sender  core.Endpoint // that sent the answer
}

// release closes the connection of an answer that was not read to its end.
func (a *bufferedAnswer) release() {
	a.Close(false)
	if a.attempt != nil {
		a.attempt.end()
	}
}

// bufferAnswer reads the body of an answer as far as it may be buffered.
func (c *call) bufferAnswer(a *dial.Answer) *bufferedAnswer {
	var buf bytes.Buffer
	for {
		n, err := io.CopyN(&buf, a.Body, minBufferedBytes)
		c.bufferedBytes += n
		buffered := c.g.bufferedBytes.Add(n)
		switch {
		case errors.Is(err, io.EOF):
			return &bufferedAnswer{Answer: a, body: buf.Bytes()}
		case err != nil:
			return &bufferedAnswer{Answer: a, body: buf.Bytes(), readErr: err}
		case buf.Len() >= maxBufferedBytes || buffered > c.g.maxBodyBytes:
			return &bufferedAnswer{Answer: a, body: buf.Bytes(), partial: true}
		}
	}
}

// releaseBuffers no longer counts the answers that were buffered for the call.
func (c *call) releaseBuffers() {
	c.g.bufferedBytes.Add(-c.bufferedBytes)
	c.bufferedBytes = 0
}

// isStream reports whether an answer to a stream's request is a stream of events.
func isStream(a *dial.Answer) bool { return a.StatusCode == http.StatusOK && a.HasDigest }

// bufferFailure reads the body of an answer that is no stream, if it may be relayed, and closes the answer.
func bufferFailure(a *dial.Answer) *bufferedAnswer {
	ans := &bufferedAnswer{Answer: a}
	if a.NotRun || a.StatusCode < http.StatusMultipleChoices {
		a.Close(false)
		return ans
	}
	timer := time.AfterFunc(maxFailureTime, func() { a.Close(false) })
	ans.body, ans.readErr = io.ReadAll(io.LimitReader(a.Body, maxFailureBytes+1))
	switch {
	case !timer.Stop():
		ans.readErr = errFailureTooSlow
	case len(ans.body) > maxFailureBytes:
		ans.readErr = errFailureTooLong
	}
	a.Close(ans.readErr == nil)
	return ans
}
