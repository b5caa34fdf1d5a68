package operator

import (
	"fmt"
	"net/http"
)

// health answers as long as the process serves HTTP at all.
func (h *Handler) health(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprintln(w, "ok")
}

// ready answers 503 while the balancer shall send no new requests.
func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	ready, reason := h.Readiness.Ready()
	if !ready {
		http.Error(w, "not ready: "+reason, http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}
