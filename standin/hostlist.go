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

// hostListRevision is the response to a poll of the host list. Hosts is empty if the list has not changed.
type hostListRevision struct {
	Revision int64
	Hosts    []model.Host `json:",omitempty"`
}

// HostAddresser translates the host list to the addresses at which the requesting zone reaches the hosts.
type HostAddresser interface {
	HostsFor(zone string, hosts []model.Host) []model.Host
}

// HostList simulates the platform's list of hosts, which is published with a delay.
type HostList struct {
	Address string
	Lag     time.Duration // delay between a change and its publication
	View    HostAddresser // optional; all zones get the same list if nil

	once      sync.Once
	mu        sync.Mutex
	current   []model.Host
	edits     int64 // number of changes, used as the revision
	published hostListRevision
	changed   chan struct{} // closed at the next publication or change of the fault
	fault     HostListFault
}

// Run serves the host list until ctx is done.
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

// Set adds or replaces a host and publishes the change after the lag.
func (h *HostList) Set(host model.Host) {
	h.edit(func() {
		h.removeHost(host.Name)
		h.current = append(h.current, host)
	})
}

// Hosts returns the published list.
func (h *HostList) Hosts() []model.Host {
	published, _, _ := h.snapshot()
	return slices.Clone(published.Hosts)
}

// Remove removes a host and publishes the change after the lag.
func (h *HostList) Remove(name string) {
	h.edit(func() { h.removeHost(name) })
}

func (h *HostList) removeHost(name string) {
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

// publish replaces the published list with next, unless the published list is newer. The timers of changes that are
// close together may fire in any order.
func (h *HostList) publish(next hostListRevision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if next.Revision <= h.published.Revision {
		return
	}
	h.published = next
	h.notifyWatchers()
}

// notifyWatchers wakes all waiting polls. h.mu must be held.
func (h *HostList) notifyWatchers() {
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *HostList) handleHosts(w http.ResponseWriter, r *http.Request) {
	after := queryInt(r, "after")
	timer := time.NewTimer(min(queryMillis(r, "timeout"), maxWatchTimeout))
	defer timer.Stop()
	for {
		published, fault, changed := h.snapshot()
		if slices.Contains(fault.UnreachableZones, r.Header.Get(zoneHeader)) {
			abortConnection()
		}
		if fault.Down {
			writeError(w, http.StatusServiceUnavailable, "down")
			return
		}
		if published.Revision != after {
			writeJSON(w, http.StatusOK, h.applyView(published, r.Header.Get(zoneHeader)))
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

// snapshot returns the published list, the current fault and a channel that is closed when either changes.
func (h *HostList) snapshot() (hostListRevision, HostListFault, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.published, h.fault, h.changed
}

func (h *HostList) applyView(published hostListRevision, zone string) hostListRevision {
	if h.View != nil {
		published.Hosts = h.View.HostsFor(zone, published.Hosts)
	}
	return published
}
