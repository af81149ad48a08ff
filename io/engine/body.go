package engine

import "io"

// sentBody is the body of a request that is sent once. It lets go of what has been read, because net/http holds the request
// until the end of the answer; a reader that could start again would hold each open stream's prompt.
type sentBody struct{ rest []byte }

// Read returns the next part.
func (b *sentBody) Read(p []byte) (int, error) {
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	if len(b.rest) > 0 {
		return n, nil
	}
	b.rest = nil
	return n, io.EOF
}

// Close does nothing.
func (b *sentBody) Close() error { return nil }
