package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"time"

	"citronspread/model"
	"citronspread/ownership"
	"citronspread/ratelimit"
	"citronspread/residency"
	"citronspread/routing"
)

// stateTimeout bounds the wait of a state request for the control thread.
const stateTimeout = time.Second

// State is a dump of an entry host's state for operators.
type State struct {
	Name       string
	Version    int64 // of the current desired state
	StoreEra   int64 // how often the store was restored from an older copy
	Ready      bool
	Registered bool
	MayOrder   bool
	Hosts      map[string]ownership.Host
	Owners     map[string]string // host name of each backend server's owner
	Owned      map[string]*residency.Account
	Backends   map[string]model.BackendListing
	Router     routing.State
	Software   map[string]serviceSoftware // by service
	Caps       []ratelimit.ShareState     // of the workspaces whose caps this host has a part in dividing
}

// ServeState serves the state of the host as JSON.
func (h *Host) ServeState(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), stateTimeout)
	defer cancel()
	body, err := query(ctx, h, func(now time.Time) []byte {
		encoded, err := json.MarshalIndent(h.state(now), "", "  ")
		if err != nil {
			return []byte(err.Error())
		}
		return encoded
	})
	if err != nil {
		http.Error(w, "the control thread does not answer", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the reader has disconnected, so there is nobody to report it to.
	_, _ = w.Write(body)
}

func (h *Host) state(now time.Time) State {
	s := State{
		Name: h.Name, StoreEra: h.table.Era, Ready: h.Ready(), Registered: h.registered, MayOrder: h.table.MayOrder(now),
		Hosts: maps.Clone(h.table.Hosts), Owners: make(map[string]string),
		Owned: make(map[string]*residency.Account), Backends: make(map[string]model.BackendListing), Router: h.router.State(now),
		Caps: h.caps.shares(now),
	}
	if table := h.routes.Load(); table != nil {
		s.Version = table.state.Version
	}
	if published := h.serviceSoftware.Load(); published != nil {
		s.Software = *published
	}
	for id, owner := range h.table.Owners {
		s.Owners[id] = owner.Record.Host
	}
	for id, b := range h.owned {
		s.Owned[id] = b.account
	}
	for id, b := range h.view.backends {
		s.Backends[id] = b.listing
	}
	return s
}
