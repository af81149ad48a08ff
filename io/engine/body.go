package engine

import "io"

// releasingBody is a request body that can be sent only once and releases its bytes when they have been read. net/http
// retains the request until the end of the response, so a body that can be rewound would keep the prompt of each open
// stream in memory.
type releasingBody struct{ rest []byte }

// Read copies the next bytes and releases them.
func (b *releasingBody) Read(p []byte) (int, error) {
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	if len(b.rest) > 0 {
		return n, nil
	}
	b.rest = nil
	return n, io.EOF
}

// Close does nothing.
func (b *releasingBody) Close() error { return nil }
