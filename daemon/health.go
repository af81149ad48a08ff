package daemon

import (
	"fmt"
	"net/http"
)

// addHealth adds the addresses that the platform's balancer asks.
func (a *Daemon) addHealth(mux *http.ServeMux) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := a.unready(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
}

// unready returns why the instance takes no requests, or "".
func (a *Daemon) unready() string {
	if a.leaving.Load() {
		return "leaving"
	}
	select {
	case <-a.relay.Ready():
	default:
		return "starting: no state from the store or from peers yet"
	}
	if err := a.relay.Fresh(); err != nil {
		return err.Error()
	}
	return ""
}
