// Package tenure decides which entry host gives the orders of a backend server. One host is the owner,
// by a record in the platform's store. Each host keeps a lease there. An owner stops by itself when it could not renew
// its lease for Validity; another host takes over only after it has seen the lease ended for longer than that, because
// a store that was down may end leases early.
// All times come from a clock that also runs while the machine is suspended.
package tenure

import (
	"cmp"
	"slices"
	"time"

	"citronspread/membership"
	"citronspread/model"
)

// Times of ownership.
const (
	// Validity is how long a renewal lets an owner give orders. It covers the usual outages of the store, of 4 to 9 s.
	Validity = 10 * time.Second
	// LeaseTerm is how soon after its end a host counts as gone. It outlasts three renewals.
	LeaseTerm = 5 * time.Second
	// RenewEvery is the time between two renewals of the lease.
	RenewEvery = 1500 * time.Millisecond
	// stopEarly is the part of the validity that is not used, for orders that are on their way.
	stopEarly = time.Second
	// successionMargin is waited for beyond the validity, for clocks of different rates.
	successionMargin = time.Second
	// rankDelay staggers hosts, so that usually one of them acts.
	rankDelay = 700 * time.Millisecond
	// assignedOnly is left to the host that rendezvous hashing names.
	assignedOnly = 3 * rankDelay
	// staleObservation is the age of what is known of the store from which nothing is claimed by it.
	staleObservation = 5 * time.Second
	// turnMargin is waited for beyond the shortest time between the orders of two holders.
	turnMargin = 500 * time.Millisecond
)

// HostRecord is what an entry host writes of itself when it registers and when it stops.
type HostRecord struct {
	Name        string
	Zone        string
	PeerAddress string
	Incarnation string
	Left        bool // it stopped as planned
}

// OwnerRecord names the owner of a backend server. The revision that wrote it is the owner's fencing number.
type OwnerRecord struct {
	Host        string
	Incarnation string
	Previous    string // owner before, empty when there was none
}

// Host is an entry host as it was last seen. A registration writes the record and the liveness key in one transaction,
// so that a host whose record has one revision all the while has not come back.
type Host struct {
	Record           HostRecord
	Revision         int64
	LivenessRevision int64     // revision of the key under the host's lease, 0 when the lease has ended
	SilentSince      time.Time // when the lease was first seen to have ended, under this revision of the record
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
	PreviousRevision int64  // expected of the previous owner's host record
	PreviousSilent   bool   // the previous owner's liveness key is expected to be absent
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

// Registered notes that the own host record and liveness key were written by a transaction that began at the time.
func (t *Table) Registered(begun time.Time, revision int64) {
	t.Revision = revision
	t.RenewedAt = begun
	t.Hosts[t.Self.Name] = Host{Record: t.Self, Revision: revision, LivenessRevision: revision}
}

// IsRegistered reports whether the own registration stands, as far as is known.
func (t *Table) IsRegistered() bool {
	own := t.Hosts[t.Self.Name]
	return t.Revision > 0 && own.Revision == t.Revision && own.LivenessRevision > 0
}

// Renewed notes a renewal of the lease that began at the time and was acknowledged.
func (t *Table) Renewed(begun time.Time) { t.RenewedAt = begun }

// Left notes that the own host record tells of the planned stop.
func (t *Table) Left(revision int64) {
	own := t.Hosts[t.Self.Name]
	own.Record, own.Revision = t.Self, revision
	t.Revision, t.Hosts[t.Self.Name] = revision, own
}

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

// HostWritten takes in a host record. A record that is known in a newer state stays.
func (t *Table) HostWritten(now time.Time, record HostRecord, revision int64) {
	h := t.Hosts[record.Name]
	if revision <= h.Revision {
		return
	}
	h.Record, h.Revision, h.SilentSince = record, revision, now
	t.Hosts[record.Name] = h
}

// LivenessWritten takes in a host's liveness key.
func (t *Table) LivenessWritten(name string, revision int64) {
	h := t.Hosts[name]
	h.LivenessRevision = max(h.LivenessRevision, revision)
	t.Hosts[name] = h
}

// LivenessEnded takes in that a host's lease had ended by a revision of the store.
func (t *Table) LivenessEnded(now time.Time, name string, asOf int64) {
	h, known := t.Hosts[name]
	if !known || h.LivenessRevision > asOf {
		return
	}
	h.LivenessRevision, h.SilentSince = 0, now
	t.Hosts[name] = h
}

// Relisted takes in which liveness keys a whole list of the store held as of a revision.
func (t *Table) Relisted(now time.Time, lives map[string]bool, asOf int64) {
	for name, h := range t.Hosts {
		if !lives[name] && h.LivenessRevision > 0 {
			t.LivenessEnded(now, name, asOf)
		}
	}
}

// Observed notes that the store told at the time what had changed.
func (t *Table) Observed(now time.Time) { t.ObservedAt = now }

// Live returns the hosts that take part, this one included unless it stops, sorted by name.
func (t *Table) Live() []model.Peer {
	var live []model.Peer
	for _, h := range t.Hosts {
		r := h.Record
		if r.Left || h.Revision == 0 || h.LivenessRevision == 0 && r.Name != t.Self.Name {
			continue
		}
		live = append(live, model.Peer{Name: r.Name, Zone: r.Zone, Address: r.PeerAddress, Incarnation: model.Incarnation(r.Incarnation)})
	}
	slices.SortFunc(live, func(a, b model.Peer) int { return cmp.Compare(a.Name, b.Name) })
	return live
}

// Claims returns the backend servers that this host should take over now.
func (t *Table) Claims(now time.Time, backends []Backend) []Claim {
	if !t.MayOrder(now) || now.Sub(t.ObservedAt) > staleObservation {
		return nil
	}
	vacant := make(map[string]Claim)
	for _, b := range backends {
		if claim, isVacant := t.vacant(now, b.ID); isVacant {
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
	assigned := t.assigned(backends)
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
		if assigned[b.ID] == t.Self.Name || late >= 0 && late >= t.rank(b.ID, b.Zone) {
			claims = append(claims, claim)
		}
	}
	return claims
}

// vacant reports whether nobody may order the backend server, and how to claim it.
func (t *Table) vacant(now time.Time, id string) (Claim, bool) {
	o, owned := t.Owners[id]
	if !owned {
		return Claim{Backend: id}, true
	}
	if o.Record.Host == t.Self.Name {
		return Claim{}, false
	}
	h, known := t.Hosts[o.Record.Host]
	if !known {
		t.Hosts[o.Record.Host] = Host{SilentSince: now} // its record is missing; it may live all the same
		return Claim{}, false
	}
	claim := Claim{Backend: id, Revision: o.Revision, Previous: o.Record.Host, PreviousRevision: h.Revision, PreviousSilent: !h.Record.Left}
	return claim, h.Record.Left || h.LivenessRevision == 0 && now.Sub(h.SilentSince) > Validity+successionMargin
}

// assigned names the owner of each backend server by rendezvous hashing with an even bound, zone by zone.
func (t *Table) assigned(backends []Backend) map[string]string {
	byZone := make(map[string][]string)
	for _, b := range backends {
		byZone[b.Zone] = append(byZone[b.Zone], b.ID)
	}
	owners := make(map[string]string, len(backends))
	for zone, ids := range byZone {
		for _, a := range membership.Assign(t.candidates(zone), ids) {
			owners[a.Backend] = a.Owner
		}
	}
	return owners
}

// candidates returns the live hosts of a zone, or all live hosts when the zone has none.
func (t *Table) candidates(zone string) []model.Peer {
	live := t.Live()
	local := slices.DeleteFunc(slices.Clone(live), func(p model.Peer) bool { return p.Zone != zone })
	if len(local) == 0 {
		return live
	}
	return local
}

// rank returns the delay after which this host acts when those before it have not.
func (t *Table) rank(key, zone string) time.Duration {
	const maxRank = 8
	for i, p := range membership.Ranked(t.candidates(zone), key) {
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
