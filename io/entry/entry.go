package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/core/quota"
	"snipeshed/core/shard"
	"snipeshed/io/peer"
	"snipeshed/io/pool"
	"snipeshed/io/reply"
)

// Meter receives what clients see; *meter.Meter is one.
type Meter interface {
	// Count adds one to a named counter.
	Count(name string)
	// FirstToken records the time to the first token.
	FirstToken(team core.TeamName, rank core.RankName, d time.Duration)
	// Gap records the time between two tokens.
	Gap(team core.TeamName, rank core.RankName, d time.Duration)
}

// Services serves calls of application services; *action.Action is one.
type Services interface {
	// Serve runs a call of a service.
	Serve(w http.ResponseWriter, r *http.Request, id core.RequestID, cred core.Credential, service core.ServiceName, path string)
	// Lookup tells the outcome of a protected action.
	Lookup(w http.ResponseWriter, r *http.Request, id core.RequestID, cred core.Credential, service core.ServiceName, key string)
}

// RetryBudget limits retries; *budget.Budget is one.
type RetryBudget interface {
	// Call counts a first attempt; the endpoint is empty while it is not known.
	Call(team core.TeamName, ep core.EndpointID)
	// Retry takes one retry and reports whether there was one.
	Retry(team core.TeamName, failed core.EndpointID) bool
}

// Parts are what an Entry needs of its instance.
type Parts struct {
	core.Shared
	Settings *conf.Settings
	Config   core.ConfigSource
	Members  core.Members
	Host     peer.Owner
	Shard    func() *shard.Shard
	Peer     *peer.Peer
	Services Services
	Meter    Meter
	Budget   RetryBudget
}

// Entry is the clients' HTTP handler.
type Entry struct {
	Parts
	mux   *http.ServeMux
	loads loads

	requests, bodies *quota.Quota

	mu      sync.Mutex
	leaving bool
	open    sync.WaitGroup
}

// New returns an Entry.
func New(parts Parts) *Entry {
	e := &Entry{
		Parts: parts, mux: http.NewServeMux(), loads: loads{seen: map[core.PoolID]seenLoad{}},
		requests: quota.New(parts.Settings.GetOpenRequestLimit()), bodies: quota.New(parts.Settings.GetOpenBodyBytes()),
	}
	e.mux.HandleFunc("POST /v1/chat/completions", e.guard(e.chat))
	e.mux.HandleFunc("GET /v1/models", e.guard(e.models))
	e.mux.HandleFunc("/services/{service}/{path...}", e.guard(e.service))
	e.mux.HandleFunc("GET /v1/actions/{service}/{key}", e.guard(e.lookup))
	e.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		reply.Error(w, newRequestID(), &core.Error{
			Kind: core.KindNotFound, Message: "no such path: " + r.URL.Path, Run: core.RunNot,
			Remedy: "use POST /v1/chat/completions, GET /v1/models or /services/{service}/{path}",
		})
	})
	return e
}

func newRequestID() core.RequestID { return core.RequestID(core.NewRandomID()) }

// ServeHTTP serves one request.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// request is one request whose credential has been checked.
type request struct {
	id      core.RequestID
	arrived time.Time
	cfg     *core.Config
	cred    core.Credential
}

type handler func(w http.ResponseWriter, r *http.Request, q *request)

// guard admits a request while the instance serves and its credential is known.
func (e *Entry) guard(next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		q := &request{id: newRequestID(), arrived: time.Now()}
		if !e.enter() {
			w.Header().Set("Connection", "close")
			e.refuse(w, q.id, pool.Leaving())
			return
		}
		defer e.open.Done()
		if err := e.Config.Fresh(); err != nil {
			e.refuse(w, q.id, err)
			return
		}
		q.cfg = e.Config.Config()
		cred, err := authenticate(q.cfg, r)
		if err != nil {
			e.refuse(w, q.id, err)
			return
		}
		q.cred = cred
		res, err := e.reserve(q, r.ContentLength)
		if err != nil {
			e.refuse(w, q.id, err)
			return
		}
		defer res.release()
		r.Body = &timedBody{
			ReadCloser: r.Body, conn: http.NewResponseController(w), timeout: ms(e.Settings.GetBodyTimeoutMs()), reserved: res,
		}
		next(w, r, q)
	}
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func (e *Entry) refuse(w http.ResponseWriter, id core.RequestID, err error) {
	e.Meter.Count("refused_" + string(core.KindOf(err)))
	reply.Error(w, id, err)
}

func (e *Entry) enter() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return false
	}
	e.open.Add(1)
	return true
}

// Drain refuses new requests and waits until the open ones have ended or ctx has.
func (e *Entry) Drain(ctx context.Context) error {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	done := make(chan struct{})
	go func() {
		e.open.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *Entry) service(w http.ResponseWriter, r *http.Request, q *request) {
	name := core.ServiceName(r.PathValue("service"))
	if err := allowed(q, name); err != nil {
		e.refuse(w, q.id, err)
		return
	}
	e.Services.Serve(w, r, q.id, q.cred, name, r.PathValue("path"))
}

func (e *Entry) lookup(w http.ResponseWriter, r *http.Request, q *request) {
	name := core.ServiceName(r.PathValue("service"))
	if err := allowed(q, name); err != nil {
		e.refuse(w, q.id, err)
		return
	}
	e.Services.Lookup(w, r, q.id, q.cred, name, r.PathValue("key"))
}
