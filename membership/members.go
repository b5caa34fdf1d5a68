// Package membership tracks which entry hosts of an availability zone are live, from heartbeats that they pass on to
// each other, and assigns backend servers and models to hosts by rendezvous hashing.
package membership

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"citronspread/model"
)

const (
	// FailureTimeout is the silence after which a peer counts as failed.
	FailureTimeout = 5 * time.Second
	// RefusedFailureTimeout is the silence after which a peer that refused a connection counts as failed.
	RefusedFailureTimeout = 1500 * time.Millisecond
	// retention is how long a silent peer stays in the view.
	retention = 10 * time.Minute
)

// HeartbeatID identifies an incarnation of an entry host in heartbeats. It is a 32-bit hash.
type HeartbeatID uint32

// NewHeartbeatID returns the heartbeat ID of an incarnation.
func NewHeartbeatID(incarnation model.Incarnation) HeartbeatID {
	return HeartbeatID(xxhash.Sum64String(string(incarnation)))
}

// Load is the rounded load of one backend server. The backend server's owner sends it with its heartbeat.
type Load struct {
	_       struct{} `cbor:",toarray"`
	Backend BackendID
	Running int
	Waiting int
	Age     AgeTenths // from the engine's report to the heartbeat
}

// BackendID identifies a backend server in heartbeats. It is a 32-bit hash.
type BackendID uint32

// NewBackendID returns the ID of a backend server in heartbeats.
func NewBackendID(backend string) BackendID { return BackendID(xxhash.Sum64String(backend)) }

// AgeTenths is an age in tenths of a second.
type AgeTenths uint8

const ageUnit = 100 * time.Millisecond

// NewAgeTenths rounds an age to tenths of a second, limited to 0 to 25.5 s. An age that is negative because the clocks
// of host and engine differ becomes 0.
func NewAgeTenths(age time.Duration) AgeTenths {
	return AgeTenths(min(max(age.Round(ageUnit)/ageUnit, 0), math.MaxUint8))
}

func (a AgeTenths) Duration() time.Duration { return time.Duration(a) * ageUnit }

// Heartbeat is the latest heartbeat of an incarnation.
type Heartbeat struct {
	_       struct{} `cbor:",toarray"`
	ID      HeartbeatID
	Counter uint64
	Loads   []Load
}

type member struct {
	peer      model.Peer
	heartbeat Heartbeat
	refused   bool
}

// Members is the view that one entry host has of the entry hosts in its availability zone. It is not safe for
// concurrent use; only the control thread uses it.
type Members struct {
	Self model.Peer

	counter uint64
	loads   []Load
	peers   map[string]*member        // by host name
	pending map[HeartbeatID]Heartbeat // heartbeats of incarnations that have not been introduced yet
	stopped map[model.Incarnation]bool
}

// NewMembers returns a view that contains only self.
func NewMembers(self model.Peer) *Members {
	return &Members{
		Self:    self,
		peers:   make(map[string]*member),
		pending: make(map[HeartbeatID]Heartbeat),
		stopped: make(map[model.Incarnation]bool),
	}
}

// Introduce adds a peer or a new incarnation of it. If the address is the same, the previous incarnation is recorded as
// stopped; at another address, its process may still be running.
func (m *Members) Introduce(now time.Time, peer model.Peer) {
	if peer.Zone != m.Self.Zone || peer.Name == m.Self.Name {
		return
	}
	existing, ok := m.peers[peer.Name]
	if ok && existing.peer.Incarnation == peer.Incarnation {
		existing.peer.Leaving = peer.Leaving
		return
	}
	if ok && existing.peer.Address == peer.Address {
		m.stopped[existing.peer.Incarnation] = true
	}
	peer.LastHeard = now
	joined := &member{peer: peer, heartbeat: Heartbeat{ID: NewHeartbeatID(peer.Incarnation)}}
	m.peers[peer.Name] = joined
	if heartbeat, ok := m.pending[joined.heartbeat.ID]; ok {
		joined.heartbeat = heartbeat
		delete(m.pending, heartbeat.ID)
	}
}

// IncrementHeartbeat increments the counter of this host's heartbeat and sets the loads that are sent with it.
func (m *Members) IncrementHeartbeat(loads []Load) {
	m.counter++
	m.loads = loads
}

// Merge merges heartbeats that a peer passed on.
func (m *Members) Merge(now time.Time, heartbeats []Heartbeat) {
	for _, h := range heartbeats {
		m.merge(now, h)
	}
}

func (m *Members) merge(now time.Time, heartbeat Heartbeat) {
	for _, p := range m.peers {
		if p.heartbeat.ID != heartbeat.ID {
			continue
		}
		if heartbeat.Counter > p.heartbeat.Counter {
			p.heartbeat = heartbeat
			p.peer.LastHeard = now
			p.refused = false
		}
		return
	}
	if heartbeat.ID != NewHeartbeatID(m.Self.Incarnation) && heartbeat.Counter > m.pending[heartbeat.ID].Counter {
		m.pending[heartbeat.ID] = heartbeat
	}
}

// Refused records that a peer refused a connection.
func (m *Members) Refused(name string) {
	if p, ok := m.peers[name]; ok {
		p.refused = true
	}
}

// Remove removes a host that is no longer on the platform's host list, and records its incarnation as stopped.
func (m *Members) Remove(name string) {
	p, ok := m.peers[name]
	if !ok {
		return
	}
	m.stopped[p.peer.Incarnation] = true
	delete(m.peers, name)
}

// Names returns the names of the known peers, sorted.
func (m *Members) Names() []string {
	names := make([]string, 0, len(m.peers))
	for _, p := range m.sorted() {
		names = append(names, p.peer.Name)
	}
	return names
}

// Heartbeats returns all heartbeats, this host's own first.
func (m *Members) Heartbeats() []Heartbeat {
	heartbeats := []Heartbeat{{ID: NewHeartbeatID(m.Self.Incarnation), Counter: m.counter, Loads: m.loads}}
	for _, p := range m.sorted() {
		if p.heartbeat.Counter > 0 {
			heartbeats = append(heartbeats, p.heartbeat)
		}
	}
	return heartbeats
}

// NewerHeartbeats returns the heartbeats that are newer than those in the digest.
func (m *Members) NewerHeartbeats(digest []Heartbeat) []Heartbeat {
	counters := make(map[HeartbeatID]uint64, len(digest))
	for _, h := range digest {
		counters[h.ID] = h.Counter
	}
	var newer []Heartbeat
	for _, h := range m.Heartbeats() {
		if h.Counter > counters[h.ID] {
			newer = append(newer, h)
		}
	}
	return newer
}

// MissingHeartbeats returns the IDs of the heartbeats in the digest that are newer than those of this host.
func (m *Members) MissingHeartbeats(digest []Heartbeat) []HeartbeatID {
	counters := make(map[HeartbeatID]uint64, len(digest))
	for _, h := range m.Heartbeats() {
		counters[h.ID] = h.Counter
	}
	var missing []HeartbeatID
	for _, h := range digest {
		if h.Counter > counters[h.ID] {
			missing = append(missing, h.ID)
		}
	}
	return missing
}

// SelectHeartbeats returns the heartbeats with the given IDs.
func (m *Members) SelectHeartbeats(ids []HeartbeatID) []Heartbeat {
	return slices.DeleteFunc(m.Heartbeats(), func(h Heartbeat) bool { return !slices.Contains(ids, h.ID) })
}

// HeartbeatDigest returns the heartbeats without their loads.
func (m *Members) HeartbeatDigest() []Heartbeat {
	heartbeats := m.Heartbeats()
	for i := range heartbeats {
		heartbeats[i].Loads = nil
	}
	return heartbeats
}

// DatedLoad is the load of a backend server and the approximate time when its engine reported it.
type DatedLoad struct {
	Running int
	Waiting int
	TakenAt time.Time
}

// LoadsByBackend returns the latest load of each backend server of the zone.
func (m *Members) LoadsByBackend(now time.Time) map[BackendID]DatedLoad {
	loads := make(map[BackendID]DatedLoad)
	addLoads(loads, m.loads, now)
	for _, p := range m.peers {
		addLoads(loads, p.heartbeat.Loads, p.peer.LastHeard)
	}
	return loads
}

// HasLoads reports whether any backend server of the zone is in use. Heartbeats contain only the loads of those.
func (m *Members) HasLoads() bool {
	if len(m.loads) > 0 {
		return true
	}
	for _, p := range m.peers {
		if len(p.heartbeat.Loads) > 0 {
			return true
		}
	}
	return false
}

// addLoads adds reported loads; of two reports on one backend server it retains the newer.
func addLoads(loads map[BackendID]DatedLoad, reported []Load, receivedAt time.Time) {
	for _, l := range reported {
		takenAt := receivedAt.Add(-l.Age.Duration())
		if existing, ok := loads[l.Backend]; !ok || takenAt.After(existing.TakenAt) {
			loads[l.Backend] = DatedLoad{Running: l.Running, Waiting: l.Waiting, TakenAt: takenAt}
		}
	}
}

// Live returns the live entry hosts of the zone, including self, sorted by name.
func (m *Members) Live(now time.Time) []model.Peer {
	live := []model.Peer{m.Self}
	for _, p := range m.peers {
		if p.isLive(now) {
			live = append(live, p.peer)
		}
	}
	slices.SortFunc(live, func(a, b model.Peer) int { return strings.Compare(a.Name, b.Name) })
	return live
}

// Staying returns the live entry hosts that are not leaving. Only these may own backend servers and be leaders of
// models.
func (m *Members) Staying(now time.Time) []model.Peer {
	return slices.DeleteFunc(m.Live(now), func(p model.Peer) bool { return p.Leaving })
}

// Stopped returns the incarnations that are known to have stopped, sorted.
func (m *Members) Stopped() []model.Incarnation {
	stopped := make([]model.Incarnation, 0, len(m.stopped))
	for incarnation := range m.stopped {
		stopped = append(stopped, incarnation)
	}
	slices.Sort(stopped)
	return stopped
}

// Forget removes the peers that have been silent for more than ten minutes.
func (m *Members) Forget(now time.Time) {
	for name, p := range m.peers {
		if now.Sub(p.peer.LastHeard) > retention {
			delete(m.peers, name)
		}
	}
}

func (m *Members) sorted() []*member {
	members := make([]*member, 0, len(m.peers))
	for _, p := range m.peers {
		members = append(members, p)
	}
	slices.SortFunc(members, func(a, b *member) int { return cmp.Compare(a.peer.Name, b.peer.Name) })
	return members
}

func (p *member) isLive(now time.Time) bool {
	silence := now.Sub(p.peer.LastHeard)
	if p.refused {
		return silence < RefusedFailureTimeout
	}
	return silence < FailureTimeout
}

// Replaced records that an incarnation has stopped, because another incarnation responded at its address.
func (m *Members) Replaced(incarnation model.Incarnation) {
	m.stopped[incarnation] = true
}
