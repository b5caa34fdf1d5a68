// Package ownership decides which entry host owns a backend server and may send it orders. Ownership is a record in the
// platform's store, and each host holds a lease there. An owner stops sending orders
// before Validity has passed since the last renewal of its lease. Another host takes over only after it has observed for
// longer than Validity that the lease has expired, because the store may expire leases early after an outage.
//
// A store may be restored from an older copy, which begins a new era. The records of earlier eras then give no right to send
// orders, since later ones may be lost. A host that was the owner until then claims its backend servers again. Others wait
// until no owner of an earlier era can send orders any more.
//
// All times come from a clock that also runs while the machine is suspended.
package ownership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"citronspread/membership"
	"citronspread/model"
)

const (
	// Validity is how long ownership is valid after a renewal of the lease; the owner stops sending orders orderMargin
	// earlier. It covers the usual store outages of 4 to 9 s.
	Validity = 10 * time.Second
	// LeaseTTL is the lifetime of a lease without renewal. It covers three renewal intervals.
	LeaseTTL = 5 * time.Second
	// RenewInterval is the interval between renewals of the lease.
	RenewInterval = 1500 * time.Millisecond
	// orderMargin is how long before the end of its validity an owner stops, so that orders in flight arrive in time.
	orderMargin = time.Second
	// takeoverMargin is added to the validity before another host takes over, because clocks run at different rates.
	takeoverMargin = time.Second
	// rankDelay is the delay per rank that staggers the claims of hosts, so that usually only one host claims.
	rankDelay = 700 * time.Millisecond
	// slowRanks is the number of ranks after which lateRankDelay staggers the claims instead.
	slowRanks     = 8
	lateRankDelay = 100 * time.Millisecond
	// assignedOnlyPeriod is how long only the host assigned by rendezvous hashing may claim a vacant backend server.
	assignedOnlyPeriod = 3 * rankDelay
	// maxObservationAge is the maximum age of the observed store state. A host with older state claims nothing.
	maxObservationAge = 5 * time.Second
	// ownerChangeMargin is added to the minimum time between the orders of two owners.
	ownerChangeMargin = 500 * time.Millisecond
	// carryPeriod is how long the hosts that were live before the store was restored count as live until they register again.
	carryPeriod = 3 * time.Second
)

// HostRecord is the record that an entry host writes about itself when it registers and when it stops.
type HostRecord struct {
	Name        string
	Zone        string
	PeerAddress string
	Incarnation string
	Left        bool    // graceful shutdown
	Era         int64   `json:",omitempty"` // of the store when the host registered
	LinkMbps    float64 `json:",omitempty"` // bandwidth of its link in Mbit/s, 0 if unknown
}

// OwnerRecord names the owner of a backend server. The store revision of the record is the owner's fencing token.
type OwnerRecord struct {
	Host        string
	Incarnation string
	Previous    string // previous owner, empty if none
	Era         int64  `json:",omitempty"` // of the store when the owner made its claim
}

// Host is the last observed state of an entry host. A registration writes the record and the liveness key in one
// transaction, so a host has not registered again while the revision of its record is unchanged.
type Host struct {
	Record           HostRecord
	Revision         int64
	LivenessRevision int64     // revision of the liveness key, bound to the host's lease; 0 if the lease has expired
	SilentSince      time.Time // since when neither a lease nor a new record has been observed; only valid if LivenessRevision is 0
	Carried          bool      // live when the store was restored
}

// Owner is the last observed owner record of a backend server.
type Owner struct {
	Record   OwnerRecord
	Revision int64
}

// Claim describes the transaction that makes this host the owner of a backend server.
type Claim struct {
	Backend          string
	Revision         int64  // expected revision of the owner record, 0 if none
	Previous         string // owner that the claim replaces, empty if none
	PreviousRevision int64  // expected revision of the previous owner's host record
	PreviousExpired  bool   // the previous owner's liveness key is expected to be absent
}

// Backend is a backend server that needs an owner.
type Backend struct {
	ID   string
	Zone string
}

// Table is a host's view of the hosts and owners in the store.
type Table struct {
	Self             HostRecord
	OwnerChangeDelay time.Duration // minimum time between the orders of two owners
	Hosts            map[string]Host
	Owners           map[string]Owner
	Era              int64     // of the store, see store.Era
	Revision         int64     // of this host's record, 0 if it is not registered in this era
	RenewedAt        time.Time // start of the latest renewal that counts for the right to send orders
	Stopping         bool
	ObservedAt       time.Time
	ObservedRevision int64                // all changes of the store up to it are in the table
	unconfirmedAt    time.Time            // start of the latest renewal since a registration that is not confirmed, zero if it is
	eraSince         time.Time            // when this host learned of the era, zero if the store was not restored
	carrying         bool                 // within carryPeriod of eraSince
	continued        map[string]time.Time // backend servers that this host owned when the store was restored, by ID: how long it might send them orders
	vacantSince      map[string]time.Time
	live             []model.Peer // result of Live, nil if hosts changed since
	assignments      map[string]*assignment
}

// assignment holds the intended owners of a zone's backend servers, and what they were computed from.
type assignment struct {
	hosts    []model.Peer
	backends []string // sorted
	owners   map[string]string
}

// NewTable returns an empty table.
func NewTable(self HostRecord, ownerChangeDelay time.Duration) *Table {
	return &Table{
		Self: self, OwnerChangeDelay: ownerChangeDelay, Hosts: make(map[string]Host), Owners: make(map[string]Owner),
		continued: make(map[string]time.Time), vacantSince: make(map[string]time.Time), assignments: make(map[string]*assignment),
	}
}

// EnterEra records that the store is in an era, in which nothing of earlier eras counts. It reports whether the era is new.
func (t *Table) EnterEra(now time.Time, era int64) bool {
	if era <= t.Era {
		return false
	}
	maps.DeleteFunc(t.continued, func(_ string, until time.Time) bool { return !now.Before(until) })
	if t.MayOrder(now) {
		for id := range t.Owners {
			if _, owns := t.Owns(id); owns {
				t.continued[id] = t.ValidUntil()
			}
		}
	}
	for _, p := range t.Live() {
		h := t.Hosts[p.Name]
		h.Carried = true
		t.Hosts[p.Name] = h
	}
	t.Era, t.Self.Era, t.eraSince, t.carrying = era, era, now, true
	t.Revision, t.RenewedAt, t.unconfirmedAt = 0, time.Time{}, time.Time{}
	clear(t.vacantSince)
	t.live = nil
	return true
}

// EndCarrying ends carryPeriod when it has passed and reports whether it ended now.
func (t *Table) EndCarrying(now time.Time) bool {
	if !t.carrying || now.Sub(t.eraSince) < carryPeriod {
		return false
	}
	t.carrying, t.live = false, nil
	return true
}

// Continues reports whether this host owned the backend server when the store was restored and no host has claimed it since.
func (t *Table) Continues(backend string) bool {
	_, continues := t.continued[backend]
	return continues && t.Owners[backend].Record.Era < t.Era
}

// Registered records that a transaction that started at startedAt wrote this host's record and liveness key. It gives
// the right to send orders once Observed confirms it, because another host may have taken over a backend server before
// it. A claim that takes effect later fails, since it expects the host record at an earlier revision.
func (t *Table) Registered(startedAt time.Time, revision int64) {
	t.Revision = revision
	t.unconfirmedAt = startedAt
	t.confirm()
	t.setHost(t.Self.Name, Host{Record: t.Self, Revision: revision, LivenessRevision: revision})
}

// IsRegistered reports whether the registration of this host is valid in the observed store state.
func (t *Table) IsRegistered() bool {
	own := t.Hosts[t.Self.Name]
	return t.Revision > 0 && own.Revision == t.Revision && own.LivenessRevision > 0
}

// Renewed records an acknowledged renewal of the lease that started at startedAt.
func (t *Table) Renewed(startedAt time.Time) {
	if !t.unconfirmedAt.IsZero() {
		t.unconfirmedAt = startedAt
		return
	}
	t.RenewedAt = startedAt
}

// confirm makes the registration count if the table holds all changes of the store up to it.
func (t *Table) confirm() {
	if !t.unconfirmedAt.IsZero() && t.ObservedRevision >= t.Revision {
		t.RenewedAt, t.unconfirmedAt = t.unconfirmedAt, time.Time{}
	}
}

// Left records that this host's record, with the graceful shutdown, was written at revision.
func (t *Table) Left(revision int64) {
	own := t.Hosts[t.Self.Name]
	own.Record, own.Revision = t.Self, revision
	t.Revision = revision
	t.setHost(t.Self.Name, own)
}

// MayOrder reports whether this host may send orders now to the backend servers that it owns.
func (t *Table) MayOrder(now time.Time) bool {
	return now.Before(t.ValidUntil())
}

// ValidUntil returns when this host has to stop sending orders unless it renews its lease.
func (t *Table) ValidUntil() time.Time {
	if t.Stopping || t.RenewedAt.IsZero() {
		return time.Time{}
	}
	return t.RenewedAt.Add(Validity - orderMargin)
}

// Owns reports whether this host owns the backend server, and returns the fencing token of the current owner.
func (t *Table) Owns(backend string) (term int64, owns bool) {
	o, known := t.Owners[backend]
	return o.Revision, known && o.Record.Host == t.Self.Name && o.Record.Era >= t.Era
}

// HostWritten updates the table with a host record, unless the table has a record of the same or a later revision.
func (t *Table) HostWritten(now time.Time, record HostRecord, revision int64) {
	h := t.Hosts[record.Name]
	if revision <= h.Revision {
		return
	}
	h.Record, h.Revision, h.SilentSince = record, revision, now
	t.setHost(record.Name, h)
}

// LivenessWritten updates the table with the revision of a host's liveness key.
func (t *Table) LivenessWritten(name string, revision int64) {
	h := t.Hosts[name]
	h.LivenessRevision = max(h.LivenessRevision, revision)
	t.setHost(name, h)
}

// LivenessEnded records that a host's lease had expired as of a store revision.
func (t *Table) LivenessEnded(now time.Time, name string, asOf int64) {
	h, known := t.Hosts[name]
	if !known || h.LivenessRevision > asOf {
		return
	}
	h.LivenessRevision, h.SilentSince = 0, now
	t.setHost(name, h)
}

// Relisted updates the table from a complete list of the host records and liveness keys in the store as of a revision.
func (t *Table) Relisted(now time.Time, recorded, live map[string]bool, asOf int64) {
	for name, h := range t.Hosts {
		if !recorded[name] && h.Revision <= asOf {
			h.Revision = 0
			t.setHost(name, h)
		}
		if !live[name] && h.LivenessRevision > 0 {
			t.LivenessEnded(now, name, asOf)
		}
	}
}

// Observed records when the store last reported its changes, and up to which revision the table holds them.
func (t *Table) Observed(now time.Time, revision int64) {
	t.ObservedAt, t.ObservedRevision = now, max(t.ObservedRevision, revision)
	t.confirm()
}

// setHost replaces the state of a host.
func (t *Table) setHost(name string, h Host) {
	t.Hosts[name] = h
	t.live = nil
}

// Live returns the registered hosts with a lease that have not left, sorted by name. This host needs no lease to count.
// The caller must not change the result.
func (t *Table) Live() []model.Peer {
	if t.live != nil {
		return t.live
	}
	live := make([]model.Peer, 0, len(t.Hosts))
	for _, h := range t.Hosts {
		r := h.Record
		if r.Name == "" || r.Left || !t.isLive(h) {
			continue
		}
		live = append(live, model.Peer{Name: r.Name, Zone: r.Zone, Address: r.PeerAddress, Incarnation: model.Incarnation(r.Incarnation), LinkMbps: r.LinkMbps})
	}
	slices.SortFunc(live, func(a, b model.Peer) int { return cmp.Compare(a.Name, b.Name) })
	t.live = live
	return live
}

// isLive reports whether a host counts as live, unless it has left.
func (t *Table) isLive(h Host) bool {
	switch {
	case h.Record.Name == t.Self.Name:
		return true
	case h.Record.Era < t.Era:
		return t.carrying && (h.Carried || h.LivenessRevision != 0)
	}
	return h.LivenessRevision != 0
}

// CountsAsLive reports whether other hosts count this host as live, as of the observed state of the store.
func (t *Table) CountsAsLive() bool {
	h, known := t.Hosts[t.Self.Name]
	switch {
	case !known || h.Record.Left:
		return false
	case h.Record.Era < t.Era:
		return t.carrying && (h.Carried || h.LivenessRevision != 0)
	}
	return h.LivenessRevision != 0
}

// Claims returns the claims on backend servers that this host should make now.
func (t *Table) Claims(now time.Time, backends []Backend) []Claim {
	if !t.MayOrder(now) || now.Sub(t.ObservedAt) > maxObservationAge {
		return nil
	}
	vacant := make(map[string]Claim)
	for _, b := range backends {
		if claim, isVacant := t.vacant(now, b.ID); isVacant {
			vacant[b.ID] = claim
		}
	}
	for id := range t.vacantSince {
		if _, isVacant := vacant[id]; !isVacant {
			delete(t.vacantSince, id)
		}
	}
	if len(vacant) == 0 {
		return nil
	}
	zones := t.zonesOf(backends, vacant)
	var claims []Claim
	for _, b := range backends {
		claim, isVacant := vacant[b.ID]
		if isVacant && claim.Previous == t.Self.Name {
			claims = append(claims, claim)
			continue
		}
		zone := zones[b.Zone]
		if !isVacant || zone == nil {
			continue
		}
		since, recorded := t.vacantSince[b.ID]
		if !recorded {
			since = now
			t.vacantSince[b.ID] = now
		}
		overdue := now.Sub(since) - assignedOnlyPeriod
		if zone.owners[b.ID] == t.Self.Name || overdue >= 0 && overdue >= t.claimDelay(zone.hosts, b.ID) {
			claims = append(claims, claim)
		}
	}
	return claims
}

// vacant reports whether no host may send orders to the backend server, and returns the claim to take it over.
func (t *Table) vacant(now time.Time, id string) (Claim, bool) {
	o, owned := t.Owners[id]
	if !owned || o.Record.Era < t.Era {
		return t.vacantSinceRestoration(now, id)
	}
	if o.Record.Host == t.Self.Name {
		return Claim{}, false
	}
	h, known := t.Hosts[o.Record.Host]
	if !known {
		t.Hosts[o.Record.Host] = Host{SilentSince: now} // the record is missing, but the host may be running
		return Claim{}, false
	}
	claim := Claim{Backend: id, Revision: o.Revision, Previous: o.Record.Host, PreviousRevision: h.Revision, PreviousExpired: !h.Record.Left}
	return claim, h.Record.Left || h.LivenessRevision == 0 && now.Sub(h.SilentSince) > Validity+takeoverMargin
}

// vacantSinceRestoration is vacant for a backend server without an owner of this era. If the store was restored, it may have
// an owner of an earlier era whose record is lost.
func (t *Table) vacantSinceRestoration(now time.Time, id string) (Claim, bool) {
	claim := Claim{Backend: id, Revision: t.Owners[id].Revision}
	if t.Continues(id) {
		claim.Previous, claim.PreviousRevision = t.Self.Name, t.Revision
		return claim, true
	}
	const lastOrders = Validity + takeoverMargin
	return claim, t.eraSince.IsZero() || now.Sub(t.eraSince) > lastOrders+t.OwnerChangeDelay+ownerChangeMargin
}

// zonesOf returns the assignments of the zones that have vacant backend servers and whose backend servers this host may
// claim.
func (t *Table) zonesOf(backends []Backend, vacant map[string]Claim) map[string]*assignment {
	ids, hasVacant := make(map[string][]string), make(map[string]bool)
	for _, b := range backends {
		ids[b.Zone] = append(ids[b.Zone], b.ID)
		_, isVacant := vacant[b.ID]
		hasVacant[b.Zone] = hasVacant[b.Zone] || isVacant
	}
	zones := make(map[string]*assignment)
	for zone := range hasVacant {
		hosts := t.candidates(zone)
		if hasVacant[zone] && slices.ContainsFunc(hosts, func(p model.Peer) bool { return p.Name == t.Self.Name }) {
			zones[zone] = t.assigned(zone, hosts, ids[zone])
		}
	}
	return zones
}

// assigned returns the intended owner of each backend server of a zone by rendezvous hashing. Each host gets at most an
// even share. It is computed only if the hosts or backend servers have changed, since it compares each of them with each.
func (t *Table) assigned(zone string, hosts []model.Peer, ids []string) *assignment {
	slices.Sort(ids)
	if a := t.assignments[zone]; a != nil && slices.Equal(a.hosts, hosts) && slices.Equal(a.backends, ids) {
		return a
	}
	a := &assignment{hosts: hosts, backends: ids, owners: make(map[string]string, len(ids))}
	for _, assigned := range membership.Assign(hosts, ids) {
		a.owners[assigned.Backend] = assigned.Owner
	}
	t.assignments[zone] = a
	return a
}

// candidates returns the live hosts of a zone, or all live hosts when the zone has none. A host with a lease reaches the
// store, so those of other zones need not stand in for it.
func (t *Table) candidates(zone string) []model.Peer {
	var local []model.Peer
	for _, p := range t.Live() {
		if p.Zone == zone {
			local = append(local, p)
		}
	}
	if len(local) == 0 {
		return t.Live()
	}
	return local
}

// claimDelay returns how long this host waits for the candidates that rank before it to claim the backend server.
func (t *Table) claimDelay(candidates []model.Peer, id string) time.Duration {
	rank := membership.Rank(candidates, t.Self.Name, id)
	return time.Duration(min(rank, slowRanks))*rankDelay + time.Duration(max(0, rank-slowRanks))*lateRankDelay
}

// RecordOf returns the owner record that a claim writes.
func (t *Table) RecordOf(c Claim) OwnerRecord {
	return OwnerRecord{Host: t.Self.Name, Incarnation: t.Self.Incarnation, Previous: c.Previous, Era: t.Era}
}

// FirstOrderAt returns the earliest time of the first order. It applies to a host that has just claimed the backend
// server, and to one that finds at its start that it owns it: its previous process may have claimed it just before.
func (t *Table) FirstOrderAt(now time.Time, backend string) time.Time {
	previous := t.Owners[backend].Record.Previous
	if previous == "" || previous == t.Self.Name {
		return now
	}
	return now.Add(t.OwnerChangeDelay + ownerChangeMargin)
}
