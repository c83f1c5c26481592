package server

import (
	"expvar"
	"net/http"

	"github.com/guavatrestle/guavatrestle/transport"
)

// Introspection holds the callbacks behind the debug and readiness endpoints of a process.
type Introspection struct {
	// State returns the whole state of the process, without secrets.
	State func() any
	// Ready reports whether the process can serve requests and, if it can't, the reason.
	Ready func() (bool, string)
}

// AddDebug adds the debug and health endpoints to mux.
func AddDebug(mux *http.ServeMux, i Introspection) {
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /debug/state", func(w http.ResponseWriter, _ *http.Request) {
		transport.WriteJSON(w, http.StatusOK, i.State())
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		transport.WriteJSON(w, http.StatusOK, map[string]bool{"ok": true})
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		ready, reason := i.Ready()
		status := http.StatusOK
		if !ready {
			status = http.StatusServiceUnavailable
		}
		transport.WriteJSON(w, status, Readiness{Ready: ready, Reason: reason})
	})
}

// Readiness is the body of /readyz.
type Readiness struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}
