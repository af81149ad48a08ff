package objs

import (
	"net/http"
	"strings"
	"time"

	"snipeshed/stand/host"
)

// Outage says how the platform fails; the admin calls always work.
type Outage string

// Kinds of outages.
const (
	// OutageNone ends an outage.
	OutageNone Outage = "none"
	// OutageRefuse answers 503 without effect and cuts watches.
	OutageRefuse Outage = "refuse"
	// OutageHang answers nothing, and cuts the waiting calls without effect when it ends.
	OutageHang Outage = "hang"
)

type faults struct {
	mode    Outage
	changed chan struct{} // closed and replaced at each change of mode
	delay   time.Duration
	losses  int
	prefix  string
	hold    string        // prefix of the held keys
	release chan struct{} // closed by ReleaseAnswers; nil while no answer is held back
}

// lose reports whether the answer to a write that took effect is lost.
func (f *faults) lose(key string) bool {
	if f.losses == 0 || !strings.HasPrefix(key, f.prefix) {
		return false
	}
	f.losses--
	return true
}

// held returns the channel that an answer to a write of key must await, or nil.
func (f *faults) held(key string) <-chan struct{} {
	if f.release == nil || !strings.HasPrefix(key, f.hold) {
		return nil
	}
	return f.release
}

// SetOutage begins or ends an outage of object API and instance list.
func (o *Objs) SetOutage(mode Outage) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults.mode = mode
	close(o.faults.changed)
	o.faults.changed = make(chan struct{})
}

// Slow sets the duration of each call; a write takes effect at the end of it, also when its caller has given up.
func (o *Objs) Slow(d time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults.delay = d
}

// LoseAnswers cuts the connection after each of the next n writes to keys with the prefix has taken effect.
func (o *Objs) LoseAnswers(n int, prefix string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults.losses, o.faults.prefix = n, prefix
}

// HoldAnswers holds back the answers to writes of keys with the prefix that take effect, until ReleaseAnswers.
func (o *Objs) HoldAnswers(prefix string) {
	o.ReleaseAnswers()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults.hold, o.faults.release = prefix, make(chan struct{})
}

// ReleaseAnswers sends the answers that HoldAnswers held back and holds no more.
func (o *Objs) ReleaseAnswers() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.faults.release != nil {
		close(o.faults.release)
		o.faults.release = nil
	}
}

// Counts returns the calls so far.
func (o *Objs) Counts() Counts {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.counts
	c.Revision = o.table.revision
	return c
}

func (o *Objs) delay() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.faults.delay
}

func (o *Objs) hanging() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.faults.mode == OutageHang
}

// enter reports whether a call may run; otherwise it has answered, hung or cut the call.
func (o *Objs) enter(w http.ResponseWriter, r *http.Request, limit *rate) bool {
	o.mu.Lock()
	mode, changed := o.faults.mode, o.faults.changed
	down := mode == OutageRefuse || mode == OutageHang
	limited := !down && limit != nil && !limit.take(time.Now())
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
		host.Cut()
	case down:
		host.Refuse(w, http.StatusServiceUnavailable, "the platform is down")
	case limited:
		w.Header().Set("Retry-After", "1")
		host.Refuse(w, http.StatusTooManyRequests, "the rate limit is exceeded")
	}
	return !down && !limited
}

func (o *Objs) adminRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) {
		host.Reply(w, http.StatusOK, o.Counts())
	})
	mux.HandleFunc("POST /admin/instances", o.postInstance)
	mux.HandleFunc("POST /admin/outage", func(w http.ResponseWriter, r *http.Request) {
		mode := Outage(r.URL.Query().Get("mode"))
		if mode != OutageNone && mode != OutageRefuse && mode != OutageHang {
			host.Refuse(w, http.StatusBadRequest, "mode %q is none of none, refuse, hang", mode)
			return
		}
		o.SetOutage(mode)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /admin/slow", func(w http.ResponseWriter, r *http.Request) {
		if ms, ok := host.Count(w, r, "ms"); ok {
			o.Slow(time.Duration(ms) * time.Millisecond)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	mux.HandleFunc("POST /admin/lose_answers", func(w http.ResponseWriter, r *http.Request) {
		if n, ok := host.Count(w, r, "count"); ok {
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
