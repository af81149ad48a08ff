package daemon

import (
	"fmt"
	"net/http"
)

// addHealth adds the health checks for the platform's load balancer.
func (d *Daemon) addHealth(mux *http.ServeMux) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := d.unreadyReason(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
}

// unreadyReason returns why the instance accepts no requests, or "" if it does.
func (d *Daemon) unreadyReason() string {
	if d.leaving.Load() {
		return "leaving"
	}
	select {
	case <-d.gossiper.Ready():
	default:
		return "starting: no state from the store or from peers yet"
	}
	if err := d.gossiper.CheckFresh(); err != nil {
		return err.Error()
	}
	return ""
}
