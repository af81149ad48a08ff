package store

import (
	"context"
	"net/http"

	"snipeshed/core"
)

// Put writes if the object's version is still ifVersion; 0 means that it must not exist.
// A conflict is core.ErrVersion.
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

// Delete removes the object if its version is still ifVersion; a conflict is core.ErrVersion.
func (s *Store) Delete(ctx context.Context, key string, ifVersion core.Version) error {
	_, err := s.write(ctx, call{
		op: opDelete, key: key, method: http.MethodDelete, path: objectPath(key),
		header: http.Header{"If-Match": {etag(ifVersion)}},
	})
	return err
}

// write tries a store that counts as down with a read first: a write that fails there would leave
// its caller with an unknown effect.
func (s *Store) write(ctx context.Context, c call) (http.Header, error) {
	if s.breaker.due(s.Clock.Now()) {
		if _, _, err := s.List(ctx, c.key, "", 1); err != nil {
			return nil, &core.StoreError{Op: c.op, Key: c.key, Effect: core.EffectNone, Cause: err}
		}
	}
	header, _, err := s.do(ctx, c)
	return header, err
}
