package standin

import (
	"net/http"

	"citronspread/model"
)

// hostChange is the body of POST /hosts. It adds, replaces or removes a host.
type hostChange struct {
	model.Host
	Remove bool
}

// HostListFault configures the faults that the host list injects until the next POST /fault.
type HostListFault struct {
	Down             bool     // respond to every poll with status 503
	UnreachableZones []string // connections from these zones are closed
}

// SetFault replaces the current fault.
func (h *HostList) SetFault(fault HostListFault) {
	h.EditFault(func(current *HostListFault) { *current = fault })
}

// EditFault modifies the current fault.
func (h *HostList) EditFault(edit func(current *HostListFault)) {
	h.once.Do(h.init)
	h.mu.Lock()
	defer h.mu.Unlock()
	edit(&h.fault)
	h.notifyWatchers()
}

func (h *HostList) handleChange(w http.ResponseWriter, r *http.Request) {
	var change hostChange
	if !readJSON(w, r, &change) {
		return
	}
	if change.Name == "" {
		writeError(w, http.StatusBadRequest, "Name is missing")
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
