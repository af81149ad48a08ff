package plat

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// StoreFault is a failure that the store simulates.
type StoreFault int

// Values of StoreFault.
const (
	FaultNone            StoreFault = iota
	FaultUnavailable                // status 503
	FaultTooManyRequests            // status 429
	FaultReset                      // the connection is closed without an answer
	FaultNoAnswer                   // calls hang without an answer
	FaultAnswerLost                 // a write takes effect, but its answer is lost
)

// Store simulates the platform's object store, with revisions and watches.
type Store struct {
	*httptest.Server

	mu              sync.Mutex
	revision        uint64
	objects         map[string]object // by "kind/name"
	rawSpecs        map[string][]byte // by the placeholder that stands for them in objects
	history         []change
	oldestWatchable uint64 // watches from an earlier revision get status 410
	changed         chan struct{}
	fault           StoreFault
	callCount       int
	pageSize        int
	closed          chan struct{}
	era             uint64 // see Restore
}

type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata meta            `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type change struct {
	kind    string
	rev     uint64
	Removed bool   `json:"removed"`
	Object  object `json:"object"`
}

// NewStore starts a store that lists at most pageSize objects in an answer; 0 means no limit.
func NewStore(pageSize int) *Store {
	s := &Store{revision: 1, objects: map[string]object{}, rawSpecs: map[string][]byte{}, changed: make(chan struct{}), pageSize: pageSize, closed: make(chan struct{}), era: 1}
	s.Server = httptest.NewServer(http.HandlerFunc(s.serve))
	return s
}

// Address returns the store's IP address and port.
func (s *Store) Address() string { return strings.TrimPrefix(s.URL, "http://") }

// Close ends waiting calls and stops the server.
func (s *Store) Close() {
	close(s.closed)
	s.CloseClientConnections()
	s.Server.Close()
}

// SetFault sets the fault of all calls from now on; FaultNone ends it.
func (s *Store) SetFault(f StoreFault) {
	s.mu.Lock()
	s.fault = f
	s.mu.Unlock()
	if f != FaultNone {
		s.CloseClientConnections() // also ends waiting watches
	}
}

// CallCount returns the number of calls so far.
func (s *Store) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCount
}

// Compact discards the history, so that watches from an earlier revision get status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldestWatchable, s.history = s.revision, nil
}

// Put creates or updates an object; an equal spec changes nothing.
func (s *Store) Put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // a test wrote something that is not JSON
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, raw)
}

// PutRaw creates or updates an object whose spec is sent as the given bytes. The spec may be one that encoding/json refuses,
// so a placeholder stands for it until an answer is written.
func (s *Store) PutRaw(kind, name string, spec []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	placeholder := fmt.Sprintf(`"raw spec %d"`, len(s.rawSpecs))
	s.rawSpecs[placeholder] = spec
	s.put(kind, name, json.RawMessage(placeholder))
}

// encode encodes an answer, with the raw specs in place of their placeholders.
func (s *Store) encode(out any) []byte {
	b, err := json.Marshal(out)
	if err != nil {
		panic(err) // Put and PutRaw store only what can be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for placeholder, spec := range s.rawSpecs {
		b = bytes.ReplaceAll(b, []byte(placeholder), spec)
	}
	return b
}

// Remove removes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func (s *Store) put(kind, name string, raw json.RawMessage) object {
	key := kind + "/" + name
	old, ok := s.objects[key]
	if ok && string(old.Spec) == string(raw) {
		return old
	}
	s.revision++
	o := object{Metadata: meta{Name: name, Revision: s.revision, Created: old.Metadata.Created, Finalizers: []string{}}, Spec: raw}
	if !ok {
		o.Metadata.Created = s.revision
	}
	s.objects[key] = o
	s.publish(change{kind: kind, rev: s.revision, Object: o})
	return o
}

func (s *Store) remove(kind, name string) {
	o, ok := s.objects[kind+"/"+name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects, kind+"/"+name)
	s.publish(change{kind: kind, rev: s.revision, Removed: true, Object: o})
}

func (s *Store) publish(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.callCount++
	fault, era := s.fault, s.era
	s.mu.Unlock()
	switch fault {
	case FaultUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultTooManyRequests:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case FaultReset:
		panic(http.ErrAbortHandler)
	case FaultNoAnswer:
		s.awaitDisconnect(r)
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	status, out := s.handle(r, kind, name)
	if fault == FaultAnswerLost && r.Method != http.MethodGet {
		s.awaitDisconnect(r)
	}
	if s.Era() != era {
		panic(http.ErrAbortHandler) // the store was restored meanwhile, so the answer may be one of both histories
	}
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if out != nil {
		_, _ = w.Write(s.encode(out)) // fails only when the caller has disconnected
	}
}

// awaitDisconnect blocks until the caller disconnects or the store closes, and then aborts the call.
func (s *Store) awaitDisconnect(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.closed:
	}
	panic(http.ErrAbortHandler)
}

func (s *Store) handle(r *http.Request, kind, name string) (int, any) {
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && q.Has("watch"):
		return s.watch(r, kind)
	case r.Method == http.MethodGet && name == "":
		return s.list(kind, q.Get("after"))
	case r.Method == http.MethodGet:
		return s.get(kind, name)
	case r.Method == http.MethodDelete:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.remove(kind, name)
		return http.StatusOK, nil
	default:
		return s.write(r, kind, name)
	}
}

func (s *Store) get(kind, name string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind+"/"+name]
	if !ok {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, o
}

func (s *Store) write(r *http.Request, kind, name string) (int, any) {
	var in object
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		return http.StatusBadRequest, nil
	}
	if name == "" {
		name = in.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.objects[kind+"/"+name]
	switch {
	case r.Method == http.MethodPost && ok:
		return http.StatusConflict, old
	case r.Method == http.MethodPut && !ok:
		return http.StatusNotFound, nil
	case r.Method == http.MethodPut && in.Metadata.Revision != 0 && in.Metadata.Revision != old.Metadata.Revision:
		return http.StatusConflict, old
	}
	return http.StatusOK, s.put(kind, name, in.Spec)
}

func (s *Store) list(kind, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []object
	for key, o := range s.objects {
		if strings.HasPrefix(key, kind+"/") && o.Metadata.Name > after {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	more := s.pageSize > 0 && len(items) > s.pageSize
	if more {
		items = items[:s.pageSize]
	}
	return http.StatusOK, map[string]any{"items": items, "has_more": more, "current_rev": s.revision}
}

func (s *Store) watch(r *http.Request, kind string) (int, any) {
	q := r.URL.Query()
	since, err := strconv.ParseUint(q.Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || waitErr != nil {
		return http.StatusBadRequest, nil
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if since < s.oldestWatchable || since > s.revision {
			s.mu.Unlock()
			return http.StatusGone, nil
		}
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.rev > since {
				events = append(events, c)
			}
		}
		rev, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, "current_rev": rev}
		}
		select {
		case <-changed:
		case <-end:
			return http.StatusOK, map[string]any{"events": events, "current_rev": rev}
		case <-s.closed:
			return http.StatusServiceUnavailable, nil
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, nil
		}
	}
}

// String describes the store's state in failure messages.
func (s *Store) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("revision %d, %d objects", s.revision, len(s.objects))
}
