package head

import (
	"errors"
	"fmt"
	"net/http"
	"net/textproto"
)

// Transport is an http.RoundTripper that fails with ErrMalformed in place of an answer whose head HTTP does not allow.
type Transport struct{ http.RoundTripper }

// NewTransport returns a Transport that sends requests with rt.
func NewTransport(rt http.RoundTripper) *Transport { return &Transport{rt} }

// RoundTrip sends a request and checks the head of its answer.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, markMalformed(err)
	}
	if err := Check(resp); err != nil {
		resp.Body.Close()
		t.CloseIdleConnections() // that of an answer without a body is idle already
		return nil, err
	}
	return resp, nil
}

// markMalformed returns an error that wraps ErrMalformed too if net/http has found a malformed field.
func markMalformed(err error) error {
	var field textproto.ProtocolError
	if errors.As(err, &field) {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return err
}

// CloseIdleConnections closes the idle connections; http.Client calls it.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
