package objs

import (
	"net/http"
	"strings"
	"time"

	"snipeshed/stand/host"
)

// Outage is a failure mode of the platform. The admin endpoints work in each of them.
type Outage string

// Values of Outage.
const (
	// OutageNone means normal operation.
	OutageNone Outage = "none"
	// OutageRefuse rejects each call with 503, without effect, and cuts open watches.
	OutageRefuse Outage = "refuse"
	// OutageHang leaves each call unanswered. When the outage ends, the waiting calls are cut without effect.
	OutageHang Outage = "hang"
)

type faults struct {
	outage        Outage
	outageChanged chan struct{} // closed and replaced at each change of outage
	delay         time.Duration
	answersToLose int
	losePrefix    string
	holdPrefix    string        // prefix of the keys whose answers are held back
	release       chan struct{} // closed by ReleaseAnswers; nil while HoldAnswers is not in force
}

// takeLostAnswer reports whether to lose the answer to a write that took effect, and counts it against LoseAnswers if so.
func (f *faults) takeLostAnswer(key string) bool {
	if f.answersToLose == 0 || !strings.HasPrefix(key, f.losePrefix) {
		return false
	}
	f.answersToLose--
	return true
}

// heldAnswer returns the channel that is closed when the answer to a write of key may be sent, or nil if it may be sent now.
func (f *faults) heldAnswer(key string) <-chan struct{} {
	if f.release == nil || !strings.HasPrefix(key, f.holdPrefix) {
		return nil
	}
	return f.release
}

// SetOutage starts or ends an outage of the object API and the instance list.
func (o *Platform) SetOutage(mode Outage) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults.outage = mode
	close(o.faults.outageChanged)
	o.faults.outageChanged = make(chan struct{})
}

// SetDelay sets the delay of each call. A write takes effect at the end of the delay, even if the caller has disconnected by then.
func (o *Platform) SetDelay(d time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults.delay = d
}

// LoseAnswers makes the server cut the connection instead of answering the next n writes to keys with the prefix that take
// effect.
func (o *Platform) LoseAnswers(n int, prefix string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults.answersToLose, o.faults.losePrefix = n, prefix
}

// HoldAnswers delays the answers to writes of keys with the prefix, if they take effect, until ReleaseAnswers.
func (o *Platform) HoldAnswers(prefix string) {
	o.ReleaseAnswers()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults.holdPrefix, o.faults.release = prefix, make(chan struct{})
}

// ReleaseAnswers sends the answers that are held back and ends HoldAnswers.
func (o *Platform) ReleaseAnswers() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.faults.release != nil {
		close(o.faults.release)
		o.faults.release = nil
	}
}

// Counts returns the counts so far.
func (o *Platform) Counts() Counts {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.counts
	c.Revision = o.table.revision
	return c
}

func (o *Platform) callDelay() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.faults.delay
}

func (o *Platform) isHanging() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.faults.outage == OutageHang
}

// admit reports whether a call may run. If not, admit has already rejected it or, in OutageHang, cut it at the outage's end.
func (o *Platform) admit(w http.ResponseWriter, r *http.Request, limit *tokenBucket) bool {
	o.mu.Lock()
	mode, changed := o.faults.outage, o.faults.outageChanged
	down := mode == OutageRefuse || mode == OutageHang
	limited := !down && limit != nil && !limit.allow(time.Now())
	if down {
		o.counts.Refused++
	}
	if limited {
		o.counts.Limited++
	}
	o.mu.Unlock()
	switch {
	case mode == OutageHang:
		select {
		case <-changed:
		case <-r.Context().Done():
		}
		host.AbortConnection()
	case down:
		host.WriteError(w, http.StatusServiceUnavailable, "the platform is down (simulated outage)")
	case limited:
		w.Header().Set("Retry-After", "1")
		host.WriteError(w, http.StatusTooManyRequests, "the rate limit is exceeded")
	}
	return !down && !limited
}

func (o *Platform) adminRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) {
		host.WriteJSON(w, http.StatusOK, o.Counts())
	})
	mux.HandleFunc("POST /admin/instances", o.handlePostInstance)
	mux.HandleFunc("POST /admin/outage", func(w http.ResponseWriter, r *http.Request) {
		mode := Outage(r.URL.Query().Get("mode"))
		if mode != OutageNone && mode != OutageRefuse && mode != OutageHang {
			host.WriteError(w, http.StatusBadRequest, "mode %q is not one of none, refuse, hang", mode)
			return
		}
		o.SetOutage(mode)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /admin/slow", func(w http.ResponseWriter, r *http.Request) {
		if ms, ok := host.CountParam(w, r, "ms"); ok {
			o.SetDelay(time.Duration(ms) * time.Millisecond)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	mux.HandleFunc("POST /admin/lose_answers", func(w http.ResponseWriter, r *http.Request) {
		if n, ok := host.CountParam(w, r, "count"); ok {
			o.LoseAnswers(n, r.URL.Query().Get("prefix"))
			w.WriteHeader(http.StatusNoContent)
		}
	})
	mux.HandleFunc("POST /admin/hold_answers", func(w http.ResponseWriter, r *http.Request) {
		o.HoldAnswers(r.URL.Query().Get("prefix"))
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /admin/release_answers", func(w http.ResponseWriter, _ *http.Request) {
		o.ReleaseAnswers()
		w.WriteHeader(http.StatusNoContent)
	})
}
