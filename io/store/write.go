package store

import (
	"context"
	"net/http"

	"snipeshed/core"
)

// Put writes an object if its version is still ifVersion; with 0 the object must not exist.
// A conflict is core.ErrVersionMismatch.
func (s *Store) Put(ctx context.Context, key string, value []byte, ifVersion core.Version) (core.Version, error) {
	header := http.Header{"If-Match": {etag(ifVersion)}}
	if ifVersion == 0 {
		header = http.Header{"If-None-Match": {"*"}}
	}
	answer, err := s.write(ctx, call{op: opPut, key: key, method: http.MethodPut, path: objectPath(key), header: header, body: value})
	if err != nil {
		return 0, err
	}
	v, err := parseETag(answer)
	if err != nil {
		return 0, &core.StoreError{Op: opPut, Key: key, Effect: core.EffectUnknown, Cause: err}
	}
	return v, nil
}

// Delete deletes an object if its version is still ifVersion; a conflict is core.ErrVersionMismatch.
func (s *Store) Delete(ctx context.Context, key string, ifVersion core.Version) error {
	_, err := s.write(ctx, call{
		op: opDelete, key: key, method: http.MethodDelete, path: objectPath(key),
		header: http.Header{"If-Match": {etag(ifVersion)}},
	})
	return err
}

// write probes an open breaker with a read before it sends the write: a write that failed as the probe would
// leave its caller with an unknown effect.
func (s *Store) write(ctx context.Context, c call) (http.Header, error) {
	if s.breaker.wouldProbe(s.Clock.Now()) {
		if _, _, err := s.List(ctx, c.key, "", 1); err != nil {
			return nil, &core.StoreError{Op: c.op, Key: c.key, Effect: core.EffectNone, Cause: err}
		}
	}
	header, _, err := s.do(ctx, c)
	return header, err
}
