package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store plays the platform's store.
type store struct {
	rec *record
	ln  net.Listener
	srv *http.Server

	mu      sync.Mutex
	away    bool
	era     int
	data    contents
	changed chan struct{} // closed and replaced with each change
}

// contents are what a copy of the store holds.
type contents struct {
	revision uint64
	objects  map[string]object // by "kind/name"
	history  []change
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type change struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Removed  bool   `json:"removed"`
}

func newStore(rec *record) (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		rec: rec, ln: ln, era: 1, changed: make(chan struct{}),
		data: contents{revision: 500, objects: map[string]object{}},
	}
	s.srv = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.srv.Serve(ln) }() // ends with the process
	return s, nil
}

func (s *store) address() string { return s.ln.Addr().String() }

// put writes an object for the operator or a runner; it returns when the store has acknowledged it.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // the specs of the cases can be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.set(kind, name, raw)
	s.rec.log("store acknowledges %s/%s at revision %d", kind, name, o.Metadata.Revision)
}

// remove removes an object for the operator or a runner.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unset(kind, name)
	s.rec.log("store acknowledges the removal of %s/%s at revision %d", kind, name, s.data.revision)
}

// copy returns a copy of what the store holds now.
func (s *store) copy() contents {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rec.log("a copy of the store is made at revision %d", s.data.revision)
	return contents{s.data.revision, maps.Clone(s.data.objects), append([]change(nil), s.data.history...)}
}

// leave makes the store unreachable: it closes its connections and accepts no calls.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.wake()
	s.rec.log("store is away, at revision %d", s.data.revision)
}

// comeBack makes the store reachable again with the contents of a copy.
func (s *store) comeBack(c contents) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away, s.data = false, c
	s.era++
	s.wake()
	s.rec.log("store is back from the copy, at revision %d and era %d", c.revision, s.era)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) set(kind, name string, spec json.RawMessage) object {
	old, ok := s.data.objects[kind+"/"+name]
	if ok && string(old.Spec) == string(spec) {
		return old
	}
	s.data.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.data.revision, Created: s.data.revision, Finalizers: []string{}}, Spec: spec}
	if ok {
		o.Metadata.Created = old.Metadata.Created
	}
	s.data.objects[kind+"/"+name] = o
	s.data.history = append(s.data.history, change{kind: kind, revision: s.data.revision, Object: o})
	s.wake()
	return o
}

func (s *store) unset(kind, name string) bool {
	o, ok := s.data.objects[kind+"/"+name]
	if !ok {
		return false
	}
	s.data.revision++
	delete(s.data.objects, kind+"/"+name)
	s.data.history = append(s.data.history, change{kind: kind, revision: s.data.revision, Object: o, Removed: true})
	s.wake()
	return true
}

func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	if s.isAway() {
		panic(http.ErrAbortHandler)
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	status, out := s.handle(r, kind, name)
	s.mu.Lock()
	era, away := s.era, s.away
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Store-Era", strconv.Itoa(era))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if out != nil {
		_ = json.NewEncoder(w).Encode(out) // fails only when the caller has left
	}
}

func (s *store) handle(r *http.Request, kind, name string) (int, any) {
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && q.Has("watch"):
		return s.watch(r, kind)
	case r.Method == http.MethodGet && name == "":
		return s.list(kind, q.Get("after"))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.data.objects[kind+"/"+name]
	switch r.Method {
	case http.MethodGet:
		if !ok {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, o
	case http.MethodDelete:
		if want := q.Get("revision"); ok && want != "" && want != fmt.Sprint(o.Metadata.Revision) {
			return http.StatusConflict, o
		}
		if !s.unset(kind, name) {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, o
	default:
		return s.write(r, kind, name)
	}
}

func (s *store) write(r *http.Request, kind, name string) (int, any) {
	var in object
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		return http.StatusBadRequest, nil
	}
	if name == "" {
		name = in.Metadata.Name
	}
	old, ok := s.data.objects[kind+"/"+name]
	switch {
	case r.Method == http.MethodPost && ok:
		return http.StatusConflict, old
	case r.Method == http.MethodPut && !ok:
		return http.StatusNotFound, nil
	case r.Method == http.MethodPut && in.Metadata.Revision != 0 && in.Metadata.Revision != old.Metadata.Revision:
		return http.StatusConflict, old
	}
	return http.StatusOK, s.set(kind, name, in.Spec)
}

func (s *store) list(kind, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for key, o := range s.data.objects {
		if strings.HasPrefix(key, kind+"/") && o.Metadata.Name > after {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	return http.StatusOK, map[string]any{"items": items, "has_more": false, "current_rev": s.data.revision}
}

// watch returns the changes after a revision, or 410 for a revision that the store does not have.
func (s *store) watch(r *http.Request, kind string) (int, any) {
	q := r.URL.Query()
	since, err := strconv.ParseUint(q.Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || waitErr != nil {
		return http.StatusBadRequest, nil
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if since > s.data.revision {
			s.mu.Unlock()
			return http.StatusGone, nil
		}
		events := []change{}
		for _, c := range s.data.history {
			if c.kind == kind && c.revision > since {
				events = append(events, c)
			}
		}
		revision, changed, away := s.data.revision, s.changed, s.away
		s.mu.Unlock()
		answer := map[string]any{"events": events, "current_rev": revision}
		if len(events) > 0 || away {
			return http.StatusOK, answer
		}
		select {
		case <-changed:
		case <-end:
			return http.StatusOK, answer
		case <-r.Context().Done():
			return http.StatusOK, answer
		}
	}
}
