// Package tenure decides which entry host gives the orders of a backend server. One host is the owner,
// by a record in the platform's store. An owner stops by itself when it could not renew its host record for
// Validity; another host deposes it only after it has seen the record unchanged for longer than that.
// All times come from a clock that also runs while the machine is suspended.
package tenure

import (
	"slices"
	"time"

	"citronspread/membership"
	"citronspread/model"
)

// Times of ownership.
const (
	// Validity is how long a renewal lets an owner give orders. It covers the usual outages of the store, of 4 to 9 s.
	Validity = 10 * time.Second
	// RenewEvery leaves most of the validity for an outage that begins at any moment.
	RenewEvery = 2 * time.Second
	// stopEarly is the part of the validity that is not used, for orders that are on their way.
	stopEarly = time.Second
	// deposeMargin is waited for beyond the validity, for clocks of different rates.
	deposeMargin = time.Second
	// rankDelay staggers hosts, so that usually one of them acts.
	rankDelay = 700 * time.Millisecond
	// assignedOnly is left to the host that rendezvous hashing names.
	assignedOnly = 3 * rankDelay
	// staleObservation starts the watch on other hosts anew after the store was out of reach.
	staleObservation = 5 * time.Second
	// turnMargin is waited for beyond the shortest time between the orders of two holders.
	turnMargin = 500 * time.Millisecond
)

// HostRecord is what an entry host writes of itself.
type HostRecord struct {
	Name        string
	Zone        string
	PeerAddress string
	Incarnation string
	Renewal     int64
	Left        bool // it stopped as planned
	Deposed     bool // another host wrote this, because it was silent
}

// OwnerRecord names the owner of a backend server. The revision that wrote it is the owner's fencing number.
type OwnerRecord struct {
	Host        string
	Incarnation string
	Previous    string // owner before, empty when there was none
}

// Host is a host record as it was last seen.
type Host struct {
	Record   HostRecord
	Revision int64
	Since    time.Time // unchanged since, as far as observed without a gap
}

// Owner is an owner record as it was last seen.
type Owner struct {
	Record   OwnerRecord
	Revision int64
}

// Claim is a transaction that makes this host the owner of a backend server.
type Claim struct {
	Backend          string
	Revision         int64  // expected of the owner record, 0 when there is none
	Previous         string // owner until now, empty when there was none
	PreviousRevision int64  // expected of the previous owner's host record, 0 when there is none
}

// Backend is a backend server that needs an owner.
type Backend struct {
	ID   string
	Zone string
}

// Table holds what a host knows of hosts and owners.
type Table struct {
	Self        HostRecord
	OrderTurn   time.Duration // shortest time between the orders of two holders
	Hosts       map[string]Host
	Owners      map[string]Owner
	Revision    int64 // of the own host record
	RenewedAt   time.Time
	Stopping    bool
	ObservedAt  time.Time
	unownedFrom map[string]time.Time
}

// NewTable returns an empty table.
func NewTable(self HostRecord, orderTurn time.Duration) *Table {
	return &Table{
		Self: self, OrderTurn: orderTurn, Hosts: make(map[string]Host), Owners: make(map[string]Owner),
		unownedFrom: make(map[string]time.Time),
	}
}

// Renewed notes a renewal that began at the time and was acknowledged.
func (t *Table) Renewed(begun time.Time, revision int64) {
	t.Revision = revision
	t.RenewedAt = begun
	t.Hosts[t.Self.Name] = Host{Record: t.Self, Revision: revision, Since: begun}
}

// Lost notes that the own host record was changed by another host.
func (t *Table) Lost() { t.RenewedAt = time.Time{} }

// MayOrder reports whether this host may give orders as an owner now.
func (t *Table) MayOrder(now time.Time) bool {
	return now.Before(t.ValidUntil())
}

// ValidUntil returns when this host has to stop giving orders unless it renews.
func (t *Table) ValidUntil() time.Time {
	if t.Stopping || t.RenewedAt.IsZero() {
		return time.Time{}
	}
	return t.RenewedAt.Add(Validity - stopEarly)
}

// Owns reports whether this host is the owner of the backend server and returns its fencing number.
func (t *Table) Owns(backend string) (term int64, owns bool) {
	o, known := t.Owners[backend]
	return o.Revision, known && o.Record.Host == t.Self.Name
}

// Observed takes in all host records as the store told them at the time. An old state does no harm: a deposal
// names the revision that it builds on, so that it fails when the host has renewed since.
func (t *Table) Observed(now time.Time, hosts map[string]Host) {
	gap := now.Sub(t.ObservedAt) > staleObservation
	for name, h := range hosts {
		before, known := t.Hosts[name]
		h.Since = now
		if known && !gap && before.Revision == h.Revision && !before.Since.IsZero() {
			h.Since = before.Since
		}
		hosts[name] = h
	}
	t.Hosts = hosts
	t.ObservedAt = now
}

// Live returns the hosts that take part, this one included unless it stops, sorted by name.
func (t *Table) Live(now time.Time) []model.Peer {
	var live []model.Peer
	for _, h := range t.Hosts {
		r := h.Record
		if r.Left || r.Deposed || now.Sub(h.Since) > Validity+deposeMargin {
			continue
		}
		live = append(live, model.Peer{Name: r.Name, Zone: r.Zone, Address: r.PeerAddress, Incarnation: model.Incarnation(r.Incarnation)})
	}
	slices.SortFunc(live, func(a, b model.Peer) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return live
}

// Deposals returns the hosts that have been silent for so long that they have stopped giving orders.
func (t *Table) Deposals(now time.Time) []Host {
	if t.Stopping || now.Sub(t.ObservedAt) > staleObservation {
		return nil
	}
	var silent []Host
	for name, h := range t.Hosts {
		if name == t.Self.Name || h.Record.Left || h.Record.Deposed {
			continue
		}
		late := now.Sub(h.Since) - Validity - deposeMargin
		if late > 0 && late > t.rank(now, name, h.Record.Zone) {
			silent = append(silent, h)
		}
	}
	return silent
}

// Claims returns the backend servers that this host should take over now.
func (t *Table) Claims(now time.Time, backends []Backend) []Claim {
	if !t.MayOrder(now) || now.Sub(t.ObservedAt) > staleObservation {
		return nil
	}
	vacant := make(map[string]Claim)
	for _, b := range backends {
		if claim, isVacant := t.vacant(b.ID); isVacant {
			vacant[b.ID] = claim
		}
	}
	for id := range t.unownedFrom {
		if _, isVacant := vacant[id]; !isVacant {
			delete(t.unownedFrom, id)
		}
	}
	if len(vacant) == 0 {
		return nil
	}
	var claims []Claim
	assigned := t.assigned(now, backends)
	for _, b := range backends {
		claim, isVacant := vacant[b.ID]
		if !isVacant {
			continue
		}
		since, noted := t.unownedFrom[b.ID]
		if !noted {
			since = now
			t.unownedFrom[b.ID] = now
		}
		late := now.Sub(since) - assignedOnly
		if assigned[b.ID] == t.Self.Name || late >= 0 && late >= t.rank(now, b.ID, b.Zone) {
			claims = append(claims, claim)
		}
	}
	return claims
}

// vacant reports whether nobody may order the backend server, and how to claim it.
func (t *Table) vacant(id string) (Claim, bool) {
	o, known := t.Owners[id]
	if !known {
		return Claim{Backend: id}, true
	}
	if o.Record.Host == t.Self.Name {
		return Claim{}, false
	}
	h, listed := t.Hosts[o.Record.Host]
	if listed && !h.Record.Left && !h.Record.Deposed {
		return Claim{}, false
	}
	return Claim{Backend: id, Revision: o.Revision, Previous: o.Record.Host, PreviousRevision: h.Revision}, true
}

// assigned names the owner of each backend server by rendezvous hashing with an even bound, zone by zone.
func (t *Table) assigned(now time.Time, backends []Backend) map[string]string {
	byZone := make(map[string][]string)
	for _, b := range backends {
		byZone[b.Zone] = append(byZone[b.Zone], b.ID)
	}
	owners := make(map[string]string, len(backends))
	for zone, ids := range byZone {
		for _, a := range membership.Assign(t.candidates(now, zone), ids) {
			owners[a.Backend] = a.Owner
		}
	}
	return owners
}

// candidates returns the live hosts of a zone, or all live hosts when the zone has none.
func (t *Table) candidates(now time.Time, zone string) []model.Peer {
	live := t.Live(now)
	local := slices.DeleteFunc(slices.Clone(live), func(p model.Peer) bool { return p.Zone != zone })
	if len(local) == 0 {
		return live
	}
	return local
}

// rank returns the delay after which this host acts when those before it have not.
func (t *Table) rank(now time.Time, key, zone string) time.Duration {
	const maxRank = 8
	for i, p := range membership.Ranked(t.candidates(now, zone), key) {
		if p.Name == t.Self.Name {
			return time.Duration(min(i, maxRank)) * rankDelay
		}
	}
	return maxRank * rankDelay
}

// RecordOf returns the owner record that a claim writes.
func (t *Table) RecordOf(c Claim) OwnerRecord {
	return OwnerRecord{Host: t.Self.Name, Incarnation: t.Self.Incarnation, Previous: c.Previous}
}

// FirstOrderAt returns when the first order may follow, for a host that has claimed the backend server or finds at its
// start that it owns it: a process that ended meanwhile may have claimed it a moment ago.
func (t *Table) FirstOrderAt(now time.Time, backend string) time.Time {
	previous := t.Owners[backend].Record.Previous
	if previous == "" || previous == t.Self.Name {
		return now
	}
	return now.Add(t.OrderTurn + turnMargin)
}
