package operator

import (
	"fmt"
	"net/http"
)

// health always responds with status 200, so a failure means that the process no longer serves HTTP.
func (h *Handler) health(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprintln(w, "ok")
}

// ready responds with status 503 while the load balancer must not send new requests to the entry host.
func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	ready, reason := h.Readiness.Ready()
	if !ready {
		http.Error(w, "not ready: "+reason, http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}
