package store

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"snipeshed/core"
	"snipeshed/wire"
)

// Get returns an object, or an error for which errors.Is reports core.ErrNotFound.
func (s *Store) Get(ctx context.Context, key string) (core.Object, error) {
	header, body, err := s.do(ctx, call{op: opGet, key: key, method: http.MethodGet, path: objectPath(key)})
	if err != nil {
		return core.Object{}, err
	}
	v, err := parseETag(header)
	if err != nil {
		return core.Object{}, &core.StoreError{Op: opGet, Key: key, Cause: err}
	}
	return core.Object{Key: key, Value: body, Version: v}, nil
}

// object is the JSON form of an object in a list and of a change in a watch; the value is encoded in base64.
type object struct {
	Key     string       `json:"key"`
	Value   []byte       `json:"value"`
	Version core.Version `json:"version"`
	Deleted bool         `json:"deleted"`
}

func (o object) toCore() core.Object {
	return core.Object{Key: o.Key, Value: o.Value, Version: o.Version}
}

// List returns up to limit objects whose keys have the prefix and sort after the key after, ordered by key, and the
// revision of the answer.
func (s *Store) List(ctx context.Context, prefix, after string, limit int) ([]core.Object, core.Version, error) {
	var answer struct {
		Revision core.Version `json:"revision"`
		Objects  []object     `json:"objects"`
	}
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	if err := s.getJSON(ctx, opList, prefix, "/v1/objects", query, &answer); err != nil {
		return nil, 0, err
	}
	objects := make([]core.Object, len(answer.Objects))
	for i, o := range answer.Objects {
		objects[i] = o.toCore()
	}
	return objects, answer.Revision, nil
}

// Instances returns the entries of the instance list that changed after a revision, and the revision of the answer.
func (s *Store) Instances(ctx context.Context, since core.Version) ([]*wire.Instance, core.Version, error) {
	var answer struct {
		Revision  core.Version     `json:"revision"`
		Instances []*wire.Instance `json:"instances"`
	}
	query := url.Values{"since": {strconv.FormatUint(uint64(since), 10)}}
	if err := s.getJSON(ctx, opInstances, "", "/v1/instances", query, &answer); err != nil {
		return nil, 0, err
	}
	return answer.Instances, answer.Revision, nil
}

func (s *Store) getJSON(ctx context.Context, op, key, path string, query url.Values, into any) error {
	_, body, err := s.do(ctx, call{op: op, key: key, method: http.MethodGet, path: path, query: query})
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, into); err != nil {
		return &core.StoreError{Op: op, Key: key, Cause: fmt.Errorf("answer is not the expected JSON: %w", err)}
	}
	return nil
}
