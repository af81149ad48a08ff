package bench

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"snipeshed/core"
	"snipeshed/stand/fleet"
)

// latencySample holds the latencies of one path in microseconds.
type latencySample struct {
	firstTokens *hdrhistogram.Histogram
	tokenGaps   *hdrhistogram.Histogram
	tokens      int64
	// refused counts the requests that were rejected for overload (status 429).
	refused int64
}

func (s latencySample) firstTokenUs(q float64) int64 { return s.firstTokens.ValueAtQuantile(q) }
func (s latencySample) tokenGapUs(q float64) int64   { return s.tokenGaps.ValueAtQuantile(q) }

func newLatencySample() latencySample {
	const maxUs = int64(time.Minute / time.Microsecond)
	return latencySample{firstTokens: hdrhistogram.New(1, maxUs, 3), tokenGaps: hdrhistogram.New(1, maxUs, 3)}
}

func prompt(tokens int) string { return fmt.Sprintf("[output=%d] rust on the railing", tokens) }

func directRequest(ctx context.Context, addr string, tokens int) (*http.Request, error) {
	body := fmt.Sprintf(`{"request_id":%q,"model":%q,"prompt":%q,"max_tokens":%d}`,
		core.NewRandomID(), fleet.Model, prompt(tokens), tokens)
	return http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/generate", strings.NewReader(body))
}

func chatRequest(ctx context.Context, addr string, tokens int) (*http.Request, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		fleet.Service, tokens, prompt(tokens))
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/chat/completions", strings.NewReader(body))
	if err == nil {
		r.Header.Set("Authorization", "Bearer "+fleet.UrgentKey)
	}
	return r, err
}

// measurePath reads the given number of streams concurrently over a path and records the latencies of their tokens.
//
// If timed is false it only counts the tokens, because a histogram per stream would distort the memory measurement.
func measurePath(ctx context.Context, p path, streams, tokens int, timed bool) (latencySample, error) {
	merged := newLatencySample()
	var mu sync.Mutex
	var g errgroup.Group
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for i := range streams {
		g.Go(func() error {
			sample := latencySample{}
			if timed {
				sample = newLatencySample()
			}
			err := sample.readStream(ctx, client, p, i, tokens)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			if timed {
				merged.firstTokens.Merge(sample.firstTokens)
				merged.tokenGaps.Merge(sample.tokenGaps)
			}
			merged.tokens += sample.tokens
			merged.refused += sample.refused
			return nil
		})
	}
	return merged, g.Wait()
}

// tokenMarkers are the byte sequences that mark a line with a token: in the runner's protocol and in chat completion chunks.
var tokenMarkers = [][]byte{[]byte(`"t":"`), []byte(`"delta":{"content"`)}

func (s *latencySample) readStream(ctx context.Context, client *http.Client, p path, i, tokens int) error {
	resp, last, err := s.sendRequest(ctx, client, p, i, tokens)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(io.LimitReader(resp.Body, 512)) // a partial message is enough
		return fmt.Errorf("%s: %s", resp.Status, b)
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if !isToken(lines.Bytes()) {
			continue
		}
		now := time.Now()
		if err := s.recordToken(now.Sub(last)); err != nil {
			return err
		}
		last = now
	}
	if s.tokens != int64(tokens) {
		return fmt.Errorf("got %d of %d tokens", s.tokens, tokens)
	}
	return lines.Err()
}

// sendRequest sends a request and returns the response and the time at which the request was sent. It retries a request
// that was rejected for overload up to maxRetries times, retryDelay apart: on a busy machine, the streams of the previous
// path can raise the wait that the instance expects above the limit of the rank.
func (s *latencySample) sendRequest(ctx context.Context, client *http.Client, p path, i, tokens int) (*http.Response, time.Time, error) {
	for {
		req, err := p.newRequest(ctx, i, tokens)
		if err != nil {
			return nil, time.Time{}, err
		}
		sent := time.Now()
		resp, err := client.Do(req)
		if err != nil || resp.StatusCode != http.StatusTooManyRequests || s.refused == maxRetries {
			return resp, sent, err
		}
		_ = resp.Body.Close() // only the status counts
		s.refused++
		select {
		case <-ctx.Done():
			return nil, time.Time{}, ctx.Err()
		case <-time.After(retryDelay):
		}
	}
}

const (
	maxRetries = 10
	retryDelay = time.Second
)

// recordToken adds a token and the time since the previous token or, for the first one, since the request was sent.
func (s *latencySample) recordToken(d time.Duration) error {
	h := s.tokenGaps
	if s.tokens == 0 {
		h = s.firstTokens
	}
	s.tokens++
	if h == nil {
		return nil
	}
	return h.RecordValue(max(d.Microseconds(), 1))
}

func isToken(line []byte) bool {
	for _, m := range tokenMarkers {
		if bytes.Contains(line, m) {
			return true
		}
	}
	return false
}
