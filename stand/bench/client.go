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
func measure(ctx context.Context, p path, streams, tokens int) (sample, error) {
	all := newSample()
	var mu sync.Mutex
	var g errgroup.Group
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for range streams {
		g.Go(func() error {
			one, err := read(ctx, client, p, tokens)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			all.firsts.Merge(one.firsts)
			all.gaps.Merge(one.gaps)
			all.tokens += one.tokens
			return nil
		})
	}
	return all, g.Wait()
}

var tokenMarks = [][]byte{[]byte(`"t":"`), []byte(`"delta":{"content"`)}

func read(ctx context.Context, client *http.Client, p path, tokens int) (sample, error) {
	s := newSample()
	req, err := p.open(ctx, tokens)
	if err != nil {
		return s, err
	}
	last := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(io.LimitReader(resp.Body, 512)) // a part of the message is enough
		return s, fmt.Errorf("%s: %s", resp.Status, b)
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if !isToken(lines.Bytes()) {
			continue
		}
		now := time.Now()
		h := s.gaps
		if s.tokens == 0 {
			h = s.firsts
		}
		if err := h.RecordValue(max(now.Sub(last).Microseconds(), 1)); err != nil {
			return s, err
		}
		s.tokens++
		last = now
	}
	if s.tokens != int64(tokens) {
		return s, fmt.Errorf("got %d of %d tokens", s.tokens, tokens)
	}
	return s, lines.Err()
}

func isToken(line []byte) bool {
	for _, m := range tokenMarks {
		if bytes.Contains(line, m) {
			return true
		}
	}
	return false
}
