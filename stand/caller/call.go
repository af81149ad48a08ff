package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"snipeshed/core"
	"snipeshed/stand/fleet"
)

// callTimeout ends a call whose answer never arrives.
const callTimeout = time.Minute

// Post sends a POST request; the caller must close the response's body.
func Post(c *http.Client, address, key, path string, body []byte, header map[string]string) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	for k, v := range header {
		r.Header.Set(k, v)
	}
	resp, err := c.Do(r)
	if err != nil {
		cancel()
		return nil, err
	}
	resp.Body = &cancelingBody{resp.Body, cancel}
	return resp, nil
}

type cancelingBody struct {
	io.ReadCloser
	cancel func()
}

func (b *cancelingBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// Chat sends a chat request and reads the whole answer.
func Chat(c *http.Client, address string, q *ChatRequest) (out Answer) {
	if q.Key == "" {
		q.Key = fleet.UrgentKey
	}
	header := map[string]string{}
	if q.Timeout > 0 {
		header["Snipeshed-Timeout-Ms"] = strconv.FormatInt(q.Timeout.Milliseconds(), 10)
	}
	began := time.Now()
	defer func() { out.Duration = time.Since(began) }()
	resp, err := Post(c, address, q.Key, "/v1/chat/completions", q.Body(), header)
	if err != nil {
		return Answer{TransportErr: err}
	}
	defer resp.Body.Close()
	if resp.Header.Get("Content-Type") != "text/event-stream" {
		return ReadNonStreaming(resp)
	}
	out = newAnswer(resp)
	out.readStream(resp.Body, q)
	return out
}

// ReadNonStreaming reads an answer that is not streamed.
func ReadNonStreaming(resp *http.Response) Answer {
	out := newAnswer(resp)
	out.readNonStreaming(resp.Body)
	return out
}

func newAnswer(resp *http.Response) Answer {
	return Answer{Status: resp.StatusCode, RequestID: core.RequestID(resp.Header.Get("Request-Id")), Header: resp.Header}
}
