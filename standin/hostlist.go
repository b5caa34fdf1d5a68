package standin

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"citronspread/model"

	"github.com/go-chi/chi/v5"
)

// hostListRevision is the host list as published at a revision.
type hostListRevision struct {
	Revision int64
	Hosts    []model.Host `json:",omitempty"`
}

// HostView gives the addresses by which a zone reaches the hosts.
type HostView interface {
	HostsFor(zone string, hosts []model.Host) []model.Host
}

// HostList imitates the platform's lagging list of hosts.
type HostList struct {
	Address string
	Lag     time.Duration // from a change to its publication
	View    HostView      // the same list for all zones when nil

	once      sync.Once
	mu        sync.Mutex
	current   []model.Host
	edits     int64 // number of the last change
	published hostListRevision
	changed   chan struct{}
	fault     HostListFault
}

// Run serves the host list until ctx ends.
func (h *HostList) Run(ctx context.Context) error { return serve(ctx, h.Address, h.Handler()) }

// Handler returns the host list's HTTP interface.
func (h *HostList) Handler() http.Handler {
	h.once.Do(h.init)
	r := chi.NewRouter()
	r.Get("/v1/hosts", h.handleHosts)
	r.Post("/hosts", h.handleChange)
	r.Post("/fault", h.handleFault)
	return r
}

func (h *HostList) init() { h.changed = make(chan struct{}) }

// Set replaces one host's line and publishes it after the lag.
func (h *HostList) Set(host model.Host) {
	h.edit(func() {
		h.dropHost(host.Name)
		h.current = append(h.current, host)
	})
}

// Hosts returns the list as it is published.
func (h *HostList) Hosts() []model.Host {
	published, _, _ := h.read()
	return slices.Clone(published.Hosts)
}

// Remove removes one host's line and publishes that after the lag.
func (h *HostList) Remove(name string) {
	h.edit(func() { h.dropHost(name) })
}

func (h *HostList) dropHost(name string) {
	h.current = slices.DeleteFunc(slices.Clone(h.current), func(o model.Host) bool { return o.Name == name })
}

func (h *HostList) edit(change func()) {
	h.once.Do(h.init)
	h.mu.Lock()
	change()
	h.edits++
	next := hostListRevision{Revision: h.edits, Hosts: slices.Clone(h.current)}
	lag := h.Lag
	h.mu.Unlock()
	if lag == 0 {
		h.publish(next)
		return
	}
	time.AfterFunc(lag, func() { h.publish(next) })
}

// publish shows a list unless a later one is already shown: changes made together come in any order.
func (h *HostList) publish(next hostListRevision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if next.Revision <= h.published.Revision {
		return
	}
	h.published = next
	h.announce()
}

// announce wakes the waiting polls. The caller holds the mutex.
func (h *HostList) announce() {
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *HostList) handleHosts(w http.ResponseWriter, r *http.Request) {
	after := queryInt(r, "after")
	timer := time.NewTimer(min(queryMillis(r, "timeout"), maxWatch))
	defer timer.Stop()
	for {
		published, fault, changed := h.read()
		if slices.Contains(fault.UnreachableZones, r.Header.Get(zoneHeader)) {
			cutConnection()
		}
		if fault.Down {
			writeFailure(w, http.StatusServiceUnavailable, "down")
			return
		}
		if published.Revision != after {
			writeJSON(w, http.StatusOK, h.viewed(published, r.Header.Get(zoneHeader)))
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
			writeJSON(w, http.StatusOK, hostListRevision{Revision: published.Revision})
			return
		case <-changed:
		}
	}
}

func (h *HostList) read() (hostListRevision, HostListFault, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.published, h.fault, h.changed
}

func (h *HostList) viewed(published hostListRevision, zone string) hostListRevision {
	if h.View != nil {
		published.Hosts = h.View.HostsFor(zone, published.Hosts)
	}
	return published
}
