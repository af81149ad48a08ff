package objs

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"snipeshed/core"
	"snipeshed/stand/host"
)

// Platform is an HTTP server with the object API and the instance list.
type Platform struct {
	*host.Server
	cfg settings

	mu         sync.Mutex
	table      *table
	instances  instanceLog
	readLimit  tokenBucket
	writeLimit tokenBucket
	counts     Counts
	faults     faults
}

// Counts counts the calls since the start by kind and result. A watch counts as one read, however long it stays open.
type Counts struct {
	Gets          int64 `json:"gets"`
	Lists         int64 `json:"lists"`
	Watches       int64 `json:"watches"`
	Puts          int64 `json:"puts"`
	Deletes       int64 `json:"deletes"`
	Conflicts     int64 `json:"conflicts"`
	Limited       int64 `json:"limited"`
	Refused       int64 `json:"refused"`
	LostAnswers   int64 `json:"lost_answers"`
	HeldAnswers   int64 `json:"held_answers"`
	InstanceLists int64 `json:"instance_lists"`
	OpenWatches   int64 `json:"open_watches"`
	// Revision is the store's revision, that is the number of writes and deletes that took effect.
	Revision core.Version `json:"revision"`
}

// New returns a Platform that is not yet started.
func New(opts ...Option) *Platform {
	cfg := defaults()
	for _, opt := range opts {
		opt(&cfg)
	}
	o := &Platform{
		cfg:        cfg,
		table:      newTable(cfg.historyLimit),
		readLimit:  tokenBucket{perSecond: cfg.readsPerSecond},
		writeLimit: tokenBucket{perSecond: cfg.writesPerSecond},
		faults:     faults{outageChanged: make(chan struct{}), delay: cfg.callDelay},
	}
	o.Server = host.New(o.routes(), cfg.hostOptions...)
	return o
}

func (o *Platform) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{key...}", o.readHandler(&o.counts.Gets, o.handleGet))
	mux.HandleFunc("GET /v1/objects", o.readHandler(&o.counts.Lists, o.handleList))
	mux.HandleFunc("GET /v1/watch", o.readHandler(&o.counts.Watches, o.handleWatch))
	mux.HandleFunc("PUT /v1/objects/{key...}", o.writeHandler(&o.counts.Puts, o.handlePut))
	mux.HandleFunc("DELETE /v1/objects/{key...}", o.writeHandler(&o.counts.Deletes, o.handleDelete))
	mux.HandleFunc("GET /v1/instances", func(w http.ResponseWriter, r *http.Request) {
		if o.admit(w, r, nil) {
			o.handleInstances(w, r)
		}
	})
	o.adminRoutes(mux)
	return mux
}

func (o *Platform) readHandler(count *int64, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if o.admit(w, r, &o.readLimit) && host.Sleep(r.Context(), o.callDelay()) {
			o.addCount(count, 1)
			h(w, r)
		}
	}
}

func (o *Platform) writeHandler(count *int64, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !o.admit(w, r, &o.writeLimit) {
			return
		}
		value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			host.WriteError(w, http.StatusRequestEntityTooLarge, "the value exceeds %d bytes", maxValueBytes)
			return
		}
		if err != nil {
			return // the client disconnected
		}
		r.Body = io.NopCloser(strings.NewReader(string(value)))
		// A write that was received takes effect even if the caller disconnects during the delay.
		if host.Sleep(o.Context(), o.callDelay()) {
			o.addCount(count, 1)
			h(w, r)
		}
	}
}

func (o *Platform) addCount(count *int64, n int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	*count += n
}

// maxValueBytes is the object API's limit on the size of a value.
const maxValueBytes = 1 << 20

// maxListLimit limits the number of objects in a response to a list call.
const maxListLimit = 1000

func etag(v core.Version) string { return `"` + strconv.FormatUint(uint64(v), 10) + `"` }

// parseVersion parses a version with or without the quotes of an ETag; an empty string gives 0.
func parseVersion(s string) (core.Version, error) {
	n, err := strconv.ParseUint("0"+strings.Trim(s, `"`), 10, 64)
	return core.Version(n), err
}

func (o *Platform) handleGet(w http.ResponseWriter, r *http.Request) {
	obj, ok := o.Get(r.PathValue("key"))
	if !ok {
		host.WriteError(w, http.StatusNotFound, "object %q does not exist", r.PathValue("key"))
		return
	}
	w.Header().Set("ETag", etag(obj.Version))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(obj.Value)
}

// Get returns an object and reports whether it exists. It does not count as a call.
func (o *Platform) Get(key string) (core.Object, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	obj, ok := o.table.objects[key]
	return obj, ok
}

// List returns all objects whose key has the prefix, in key order. It does not count as a call.
func (o *Platform) List(prefix string) []core.Object {
	o.mu.Lock()
	defer o.mu.Unlock()
	out, _ := o.table.list(prefix, "", len(o.table.keys))
	return out
}

// requiredVersion returns the version that a write requires, where 0 means that the object must not exist. It reports
// whether the request has such a condition.
func requiredVersion(r *http.Request) (core.Version, bool) {
	if r.Method == http.MethodPut && r.Header.Get("If-None-Match") == "*" && r.Header.Get("If-Match") == "" {
		return 0, true
	}
	v, err := parseVersion(r.Header.Get("If-Match"))
	return v, err == nil && v > 0 && r.Header.Get("If-None-Match") == ""
}

func (o *Platform) handlePut(w http.ResponseWriter, r *http.Request) {
	value, _ := io.ReadAll(r.Body) // cannot fail: writeHandler has read the body into memory
	o.handleWrite(w, r, func(key string, v core.Version) (core.Version, bool) { return o.table.put(key, value, v) })
}

func (o *Platform) handleDelete(w http.ResponseWriter, r *http.Request) {
	o.handleWrite(w, r, o.table.remove)
}

func (o *Platform) handleWrite(w http.ResponseWriter, r *http.Request, write func(string, core.Version) (core.Version, bool)) {
	want, ok := requiredVersion(r)
	if !ok {
		host.WriteError(w, http.StatusPreconditionRequired, "a write needs If-Match: \"<version>\", or If-None-Match: * to create")
		return
	}
	key := r.PathValue("key")
	if key == "" {
		host.WriteError(w, http.StatusBadRequest, "the key is empty")
		return
	}
	o.mu.Lock()
	v, ok := write(key, want)
	lost := ok && o.faults.takeLostAnswer(key)
	if !ok {
		o.counts.Conflicts++
	}
	if lost {
		o.counts.LostAnswers++
	}
	var held <-chan struct{}
	if ok && !lost {
		held = o.faults.heldAnswer(key)
	}
	if held != nil {
		o.counts.HeldAnswers++
	}
	o.mu.Unlock()
	if held != nil {
		select {
		case <-held:
		case <-r.Context().Done():
		}
	}
	switch {
	case lost:
		host.AbortConnection()
	case !ok:
		if v > 0 {
			w.Header().Set("ETag", etag(v))
		}
		host.WriteError(w, http.StatusPreconditionFailed, "object %q has version %d", key, v)
	default:
		w.Header().Set("ETag", etag(v))
		if r.Method == http.MethodDelete {
			w.WriteHeader(http.StatusNoContent)
		}
	}
}

// listedObject is an object as in the responses of list and watch; encoding/json encodes the value in base64.
type listedObject struct {
	Key     string       `json:"key"`
	Version core.Version `json:"version"`
	Value   []byte       `json:"value,omitempty"`
	Deleted bool         `json:"deleted,omitempty"`
}

func (o *Platform) handleList(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi("0" + q.Get("limit"))
	if err != nil {
		host.WriteError(w, http.StatusBadRequest, "query parameter limit is not a number")
		return
	}
	if limit == 0 || limit > maxListLimit {
		limit = maxListLimit
	}
	o.mu.Lock()
	objects, more := o.table.list(q.Get("prefix"), q.Get("after"), limit)
	rev := o.table.revision
	o.mu.Unlock()
	listed := []listedObject{}
	for _, obj := range objects {
		listed = append(listed, listedObject{Key: obj.Key, Version: obj.Version, Value: obj.Value})
	}
	host.WriteJSON(w, http.StatusOK, map[string]any{"revision": rev, "objects": listed, "more": more})
}

// handleWatch streams the changes after the revision given by since, or after the current one. It returns 410 if the
// history does not reach back to that revision.
func (o *Platform) handleWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, err := parseVersion(q.Get("since"))
	if err != nil {
		host.WriteError(w, http.StatusBadRequest, "query parameter since is not a revision")
		return
	}
	o.mu.Lock()
	if !q.Has("since") {
		since = o.table.revision
	}
	_, ok := o.table.changesSince("", since)
	if ok {
		o.counts.OpenWatches++
	}
	o.mu.Unlock()
	if !ok {
		host.WriteError(w, http.StatusGone, "the history does not reach back to revision %d; list and watch from the list's revision", since)
		return
	}
	defer o.addCount(&o.counts.OpenWatches, -1)
	w.Header().Set("Content-Type", "application/x-ndjson")
	rc := http.NewResponseController(w)
	if rc.Flush() != nil {
		return
	}
	heartbeat := time.NewTicker(o.cfg.heartbeat)
	defer heartbeat.Stop()
	for {
		o.mu.Lock()
		changes, ok := o.table.changesSince(q.Get("prefix"), since)
		since = max(since, o.table.revision)
		changed, mode, outageChanged := o.table.changed, o.faults.outage, o.faults.outageChanged
		o.mu.Unlock()
		if !ok || mode == OutageRefuse {
			host.AbortConnection() // a client that fell behind the history has to list again
		}
		if mode == OutageHang {
			select {
			case <-outageChanged:
			case <-r.Context().Done():
				return
			}
			heartbeat.Reset(o.cfg.heartbeat) // skips the heartbeat that was due during the outage
		}
		if len(changes) > 0 && !host.Sleep(r.Context(), o.callDelay()) {
			return
		}
		enc := json.NewEncoder(w)
		for _, c := range changes {
			if enc.Encode(listedObject{Key: c.Key, Version: c.Version, Value: c.Value, Deleted: c.Deleted}) != nil {
				return
			}
		}
		if len(changes) > 0 && rc.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-outageChanged:
		case <-heartbeat.C:
			if !o.isHanging() {
				if _, err := io.WriteString(w, "\n"); err != nil || rc.Flush() != nil {
					return
				}
			}
		case <-r.Context().Done():
			return
		}
	}
}
