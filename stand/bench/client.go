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

// sample holds the latencies of one path.
type sample struct {
	firsts *hdrhistogram.Histogram
	gaps   *hdrhistogram.Histogram
	tokens int64
	// refused counts the requests that were refused for overload.
	refused int64
}

func (s sample) first(q float64) int64 { return s.firsts.ValueAtQuantile(q) }
func (s sample) gap(q float64) int64   { return s.gaps.ValueAtQuantile(q) }

func newSample() sample {
	const highest = int64(time.Minute / time.Microsecond)
	return sample{firsts: hdrhistogram.New(1, highest, 3), gaps: hdrhistogram.New(1, highest, 3)}
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

// measure reads streams at once over a path and times their tokens.
//
// Without timed only the tokens are counted, because a histogram per stream would hide the memory of the streams.
func measure(ctx context.Context, p path, streams, tokens int, timed bool) (sample, error) {
	all := newSample()
	var mu sync.Mutex
	var g errgroup.Group
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for i := range streams {
		g.Go(func() error {
			one := sample{}
			if timed {
				one = newSample()
			}
			err := one.read(ctx, client, p, i, tokens)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			if timed {
				all.firsts.Merge(one.firsts)
				all.gaps.Merge(one.gaps)
			}
			all.tokens += one.tokens
			all.refused += one.refused
			return nil
		})
	}
	return all, g.Wait()
}

var tokenMarks = [][]byte{[]byte(`"t":"`), []byte(`"delta":{"content"`)}

func (s *sample) read(ctx context.Context, client *http.Client, p path, i, tokens int) error {
	resp, last, err := s.ask(ctx, client, p, i, tokens)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(io.LimitReader(resp.Body, 512)) // a part of the message is enough
		return fmt.Errorf("%s: %s", resp.Status, b)
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if !isToken(lines.Bytes()) {
			continue
		}
		now := time.Now()
		if err := s.record(now.Sub(last)); err != nil {
			return err
		}
		last = now
	}
	if s.tokens != int64(tokens) {
		return fmt.Errorf("got %d of %d tokens", s.tokens, tokens)
	}
	return lines.Err()
}

// ask sends a request and returns when it was sent. A pool that refuses for overload is asked again later, as its answer
// says: on a busy machine the first run of a path makes the next one's expected wait too long.
func (s *sample) ask(ctx context.Context, client *http.Client, p path, i, tokens int) (*http.Response, time.Time, error) {
	for {
		req, err := p.open(ctx, i, tokens)
		if err != nil {
			return nil, time.Time{}, err
		}
		sent := time.Now()
		resp, err := client.Do(req)
		if err != nil || resp.StatusCode != http.StatusTooManyRequests || s.refused == maxRefusals {
			return resp, sent, err
		}
		_ = resp.Body.Close() // only the status counts
		s.refused++
		select {
		case <-ctx.Done():
			return nil, time.Time{}, ctx.Err()
		case <-time.After(askAgain):
		}
	}
}

const (
	maxRefusals = 10
	askAgain    = time.Second
)

// record notes the time from the token before, or from the request.
func (s *sample) record(d time.Duration) error {
	h := s.gaps
	if s.tokens == 0 {
		h = s.firsts
	}
	s.tokens++
	if h == nil {
		return nil
	}
	return h.RecordValue(max(d.Microseconds(), 1))
}

func isToken(line []byte) bool {
	for _, m := range tokenMarks {
		if bytes.Contains(line, m) {
			return true
		}
	}
	return false
}
