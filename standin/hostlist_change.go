package standin

import (
	"net/http"

	"citronspread/model"
)

// hostChange replaces or removes one host's line.
type hostChange struct {
	model.Host
	Remove bool
}

// HostListFault is what the host list does wrong until the next POST /fault.
type HostListFault struct {
	Down             bool
	UnreachableZones []string
}

// SetFault replaces the present fault.
func (h *HostList) SetFault(fault HostListFault) {
	h.EditFault(func(present *HostListFault) { *present = fault })
}

// EditFault changes the present fault.
func (h *HostList) EditFault(edit func(present *HostListFault)) {
	h.once.Do(h.init)
	h.mu.Lock()
	defer h.mu.Unlock()
	edit(&h.fault)
	h.announce()
}

func (h *HostList) handleChange(w http.ResponseWriter, r *http.Request) {
	var change hostChange
	if !readJSON(w, r, &change) {
		return
	}
	if change.Name == "" {
		writeFailure(w, http.StatusBadRequest, "Name is missing")
		return
	}
	if change.Remove {
		h.Remove(change.Name)
	} else {
		h.Set(change.Host)
	}
	writeJSON(w, http.StatusOK, change)
}

func (h *HostList) handleFault(w http.ResponseWriter, r *http.Request) {
	var fault HostListFault
	if !readJSON(w, r, &fault) {
		return
	}
	h.SetFault(fault)
	writeJSON(w, http.StatusOK, fault)
}
