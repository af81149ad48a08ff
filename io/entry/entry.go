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

// Meter records client-side counters and latencies; *meter.Meter implements it.
type Meter interface {
	// Count increments a named counter.
	Count(name string)
	// RecordFirstToken records the time to the first token.
	RecordFirstToken(team core.TeamName, rank core.RankName, d time.Duration)
	// RecordTokenGap records the time between two tokens.
	RecordTokenGap(team core.TeamName, rank core.RankName, d time.Duration)
}

// Services handles calls to application services; *action.Action implements it.
type Services interface {
	// Serve handles a call to a service.
	Serve(w http.ResponseWriter, r *http.Request, id core.RequestID, cred core.Credential, service core.ServiceName, path string)
	// Lookup responds with the outcome of a protected action.
	Lookup(w http.ResponseWriter, r *http.Request, id core.RequestID, cred core.Credential, service core.ServiceName, key string)
}

// RetryBudget limits retries; *budget.Budget implements it.
type RetryBudget interface {
	// CountCall counts a first attempt; the endpoint is empty if it is not known yet.
	CountCall(team core.TeamName, ep core.EndpointID)
	// TakeRetry takes one retry from the budget and reports whether one was left.
	TakeRetry(team core.TeamName, failed core.EndpointID) bool
}

// Deps are the dependencies of an Entry.
type Deps struct {
	core.Common
	Settings *conf.Settings
	Config   core.ConfigSource
	Members  core.Members
	Host     peer.Owner
	// Partition returns the current division of endpoints into pools.
	Partition func() *shard.Partition
	Peer      *peer.Peer
	Services  Services
	Meter     Meter
	Budget    RetryBudget
}

// Entry is the HTTP handler for client requests.
type Entry struct {
	Deps
	mux       *http.ServeMux
	poolLoads loadCache

	openRequests, openBodyBytes *quota.Quota

	mu             sync.Mutex
	draining       bool
	activeRequests sync.WaitGroup
}

// New returns an Entry.
func New(deps Deps) *Entry {
	e := &Entry{
		Deps: deps, mux: http.NewServeMux(), poolLoads: loadCache{byPool: map[core.PoolID]receivedLoad{}},
		openRequests: quota.New(deps.Settings.GetOpenRequestLimit()), openBodyBytes: quota.New(deps.Settings.GetOpenBodyBytes()),
	}
	e.mux.HandleFunc("POST /v1/chat/completions", e.admit(e.handleChat))
	e.mux.HandleFunc("GET /v1/models", e.admit(e.handleModels))
	e.mux.HandleFunc("/services/{service}/{path...}", e.admit(e.handleService))
	e.mux.HandleFunc("GET /v1/actions/{service}/{key}", e.admit(e.handleActionLookup))
	e.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		reply.Error(w, newRequestID(), &core.Error{
			Kind: core.KindNotFound, Message: "no such path: " + r.URL.Path, Execution: core.NotExecuted,
			Remedy: "use POST /v1/chat/completions, GET /v1/models or /services/{service}/{path}",
		})
	})
	return e
}

func newRequestID() core.RequestID { return core.RequestID(core.NewRandomID()) }

// ServeHTTP serves one request.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// request is the context of one client request; cfg and cred are set once its credential has been checked.
type request struct {
	id      core.RequestID
	arrived time.Time
	cfg     *core.Config
	cred    core.Credential
}

// handler handles an authenticated request.
type handler func(w http.ResponseWriter, r *http.Request, q *request)

// admit wraps a handler with the checks for every request: the instance is not draining, its configuration is fresh,
// the credential is valid, and the limits of open requests and of body bytes are not reached.
func (e *Entry) admit(next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		q := &request{id: newRequestID(), arrived: time.Now()}
		if !e.beginRequest() {
			w.Header().Set("Connection", "close")
			e.refuse(w, q.id, pool.LeavingError())
			return
		}
		defer e.activeRequests.Done()
		if err := e.Config.CheckFresh(); err != nil {
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
		res, err := e.reserveCapacity(q, r.ContentLength)
		if err != nil {
			e.refuse(w, q.id, err)
			return
		}
		defer res.release()
		r.Body = &timedBody{
			ReadCloser: r.Body, conn: http.NewResponseController(w), timeout: ms(e.Settings.GetBodyTimeoutMs()), reservation: res,
		}
		next(w, r, q)
	}
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// refuse responds with an error and counts it.
func (e *Entry) refuse(w http.ResponseWriter, id core.RequestID, err error) {
	e.Meter.Count("refused_" + string(core.ErrorKindOf(err)))
	reply.Error(w, id, err)
}

// beginRequest counts an active request, or returns false if the entry is draining.
func (e *Entry) beginRequest() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		return false
	}
	e.activeRequests.Add(1)
	return true
}

// Drain refuses new requests and waits until the active ones have ended or ctx is done.
func (e *Entry) Drain(ctx context.Context) error {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	done := make(chan struct{})
	go func() {
		e.activeRequests.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *Entry) handleService(w http.ResponseWriter, r *http.Request, q *request) {
	name := core.ServiceName(r.PathValue("service"))
	if err := checkServiceAccess(q, name); err != nil {
		e.refuse(w, q.id, err)
		return
	}
	e.Services.Serve(w, r, q.id, q.cred, name, r.PathValue("path"))
}

func (e *Entry) handleActionLookup(w http.ResponseWriter, r *http.Request, q *request) {
	name := core.ServiceName(r.PathValue("service"))
	if err := checkServiceAccess(q, name); err != nil {
		e.refuse(w, q.id, err)
		return
	}
	e.Services.Lookup(w, r, q.id, q.cred, name, r.PathValue("key"))
}
