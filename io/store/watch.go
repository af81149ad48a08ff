package store

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"snipeshed/core"
)

const (
	// silentHeartbeats is how many of the heartbeats, one a second, may be missing before the watch breaks.
	silentHeartbeats = 3
	heartbeat        = time.Second
	// maxLineBytes holds a value of 1 MB in base64 with its key.
	maxLineBytes = 2 << 20
)

var errSilent = errors.New("watch fell silent")

// Watch calls fn for each change after a revision and with nil for each heartbeat, until ctx ends, fn returns
// an error or the watch breaks; it always returns an error.
func (s *Store) Watch(ctx context.Context, prefix string, since core.Version, fn func(*core.Change) error) error {
	watched, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// The connection must open within the store timeout; afterwards heartbeats must arrive.
	silence := time.AfterFunc(s.timeout, func() { cancel(errSilent) })
	defer silence.Stop()
	query := url.Values{"prefix": {prefix}, "since": {strconv.FormatUint(uint64(since), 10)}}
	resp, finish, err := s.send(ctx, watched, call{op: opWatch, key: prefix, method: http.MethodGet, path: "/v1/watch", query: query}, new(atomic.Bool))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	// A watch that breaks later says nothing of new calls, so the breaker hears of its opening only.
	_ = finish(nil)
	err = readChanges(resp.Body, func(c *core.Change) error {
		silence.Stop() // fn may take long; only the store's silence counts
		defer silence.Reset(max(s.timeout, silentHeartbeats*heartbeat))
		return fn(c)
	})
	if cause := context.Cause(watched); cause != nil {
		err = cause
	}
	return &core.StoreError{Op: opWatch, Key: prefix, Cause: err}
}

func readChanges(r io.Reader, fn func(*core.Change) error) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		change, err := parseChange(lines.Bytes())
		if err != nil {
			return err
		}
		if err := fn(change); err != nil {
			return err
		}
	}
	if lines.Err() != nil {
		return lines.Err()
	}
	return io.ErrUnexpectedEOF
}

func parseChange(line []byte) (*core.Change, error) {
	if len(line) == 0 {
		return nil, nil
	}
	var o object
	if err := json.Unmarshal(line, &o); err != nil {
		return nil, fmt.Errorf("line of the watch is not the expected JSON: %w", err)
	}
	return &core.Change{Object: o.core(), Deleted: o.Deleted}, nil
}
