package daemon

import (
	"fmt"
	"net/http"
)

// addHealth adds the addresses that the platform's balancer asks.
func (d *Daemon) addHealth(mux *http.ServeMux) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := d.unready(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
}

// unready returns why the instance takes no requests, or "".
func (d *Daemon) unready() string {
	if d.leaving.Load() {
		return "leaving"
	}
	select {
	case <-d.relay.Ready():
	default:
		return "starting: no state from the store or from peers yet"
	}
	if err := d.relay.Fresh(); err != nil {
		return err.Error()
	}
	return ""
}
