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
	// maxMissedHeartbeats is the number of heartbeat intervals without data after which a watch ends.
	maxMissedHeartbeats = 3
	heartbeatInterval   = time.Second
	// maxLineBytes fits a value of 1 MB in base64 with its key.
	maxLineBytes = 2 << 20
)

var errWatchTimeout = errors.New("watch received no heartbeat in time")

// Watch calls fn for each change after a revision, and with nil for each heartbeat, until ctx ends, fn returns
// an error or the watch fails; it always returns an error.
func (s *Store) Watch(ctx context.Context, prefix string, since core.Version, fn func(*core.Change) error) error {
	watchCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// The connection must open within the store timeout; after that, heartbeats must arrive in time.
	timeout := time.AfterFunc(s.timeout, func() { cancel(errWatchTimeout) })
	defer timeout.Stop()
	query := url.Values{"prefix": {prefix}, "since": {strconv.FormatUint(uint64(since), 10)}}
	resp, finish, err := s.send(ctx, watchCtx, call{op: opWatch, key: prefix, method: http.MethodGet, path: "/v1/watch", query: query}, new(atomic.Bool))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	// A failure of an open watch does not show whether new calls would fail, so only the opening counts for the breaker.
	_ = finish(nil)
	err = readChanges(resp.Body, func(c *core.Change) error {
		timeout.Stop() // fn may take long; only the store's silence counts
		defer timeout.Reset(max(s.timeout, maxMissedHeartbeats*heartbeatInterval))
		return fn(c)
	})
	if cause := context.Cause(watchCtx); cause != nil {
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
	return &core.Change{Object: o.toCore(), Deleted: o.Deleted}, nil
}
