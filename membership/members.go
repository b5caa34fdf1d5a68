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
	// DeadAfter is the silence after which a peer counts as failed.
	DeadAfter = 5 * time.Second
	// RefusedDeadAfter is the silence after which a peer that refused a connection counts as failed.
	RefusedDeadAfter = 1500 * time.Millisecond
	// retention is how long a silent peer stays in the view.
	retention = 10 * time.Minute
)

// BeatID identifies an incarnation of an entry host in heartbeats. It is a 32-bit hash.
type BeatID uint32

// NewBeatID returns the heartbeat ID of an incarnation.
func NewBeatID(incarnation model.Incarnation) BeatID {
	return BeatID(xxhash.Sum64String(string(incarnation)))
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

// NewBackendID returns the heartbeat ID of a backend server.
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

// Beat is the latest heartbeat of an incarnation.
type Beat struct {
	_       struct{} `cbor:",toarray"`
	ID      BeatID
	Counter uint64
	Loads   []Load
}

type member struct {
	peer    model.Peer
	beat    Beat
	refused bool
}

// Members is the view that one entry host has of the entry hosts in its availability zone. It is not safe for
// concurrent use; only the control thread uses it.
type Members struct {
	Self model.Peer

	counter uint64
	loads   []Load
	peers   map[string]*member // by host name
	pending map[BeatID]Beat    // heartbeats of incarnations that have not been introduced yet
	failed  map[model.Incarnation]bool
}

// NewMembers returns a view that contains only self.
func NewMembers(self model.Peer) *Members {
	return &Members{
		Self:    self,
		peers:   make(map[string]*member),
		pending: make(map[BeatID]Beat),
		failed:  make(map[model.Incarnation]bool),
	}
}

// Introduce adds a peer or a new incarnation of it. If the address is the same, the previous incarnation is recorded as
// failed; at another address, its process may still be running.
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
		m.failed[existing.peer.Incarnation] = true
	}
	peer.LastHeard = now
	joined := &member{peer: peer, beat: Beat{ID: NewBeatID(peer.Incarnation)}}
	m.peers[peer.Name] = joined
	if beat, ok := m.pending[joined.beat.ID]; ok {
		joined.beat = beat
		delete(m.pending, beat.ID)
	}
}

// Beat increments the counter of this host's heartbeat and sets the loads that are sent with it.
func (m *Members) Beat(loads []Load) {
	m.counter++
	m.loads = loads
}

// Hear merges heartbeats that a peer passed on.
func (m *Members) Hear(now time.Time, beats []Beat) {
	for _, b := range beats {
		m.merge(now, b)
	}
}

func (m *Members) merge(now time.Time, beat Beat) {
	for _, p := range m.peers {
		if p.beat.ID != beat.ID {
			continue
		}
		if beat.Counter > p.beat.Counter {
			p.beat = beat
			p.peer.LastHeard = now
			p.refused = false
		}
		return
	}
	if beat.ID != NewBeatID(m.Self.Incarnation) && beat.Counter > m.pending[beat.ID].Counter {
		m.pending[beat.ID] = beat
	}
}

// Refused records that a peer refused a connection.
func (m *Members) Refused(name string) {
	if p, ok := m.peers[name]; ok {
		p.refused = true
	}
}

// Gone removes a host that is no longer on the platform's host list, and records its incarnation as failed.
func (m *Members) Gone(name string) {
	p, ok := m.peers[name]
	if !ok {
		return
	}
	m.failed[p.peer.Incarnation] = true
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

// Beats returns all heartbeats, this host's own first.
func (m *Members) Beats() []Beat {
	beats := []Beat{{ID: NewBeatID(m.Self.Incarnation), Counter: m.counter, Loads: m.loads}}
	for _, p := range m.sorted() {
		if p.beat.Counter > 0 {
			beats = append(beats, p.beat)
		}
	}
	return beats
}

// BeatsNewer returns the heartbeats that are newer than those in the digest.
func (m *Members) BeatsNewer(digest []Beat) []Beat {
	counters := make(map[BeatID]uint64, len(digest))
	for _, b := range digest {
		counters[b.ID] = b.Counter
	}
	var newer []Beat
	for _, b := range m.Beats() {
		if b.Counter > counters[b.ID] {
			newer = append(newer, b)
		}
	}
	return newer
}

// BeatsWanted returns the IDs of the heartbeats in the digest that are newer than those of this host.
func (m *Members) BeatsWanted(digest []Beat) []BeatID {
	counters := make(map[BeatID]uint64, len(digest))
	for _, b := range m.Beats() {
		counters[b.ID] = b.Counter
	}
	var missing []BeatID
	for _, b := range digest {
		if b.Counter > counters[b.ID] {
			missing = append(missing, b.ID)
		}
	}
	return missing
}

// SelectBeats returns the heartbeats with the given IDs.
func (m *Members) SelectBeats(ids []BeatID) []Beat {
	return slices.DeleteFunc(m.Beats(), func(b Beat) bool { return !slices.Contains(ids, b.ID) })
}

// BeatDigest returns the heartbeats without their loads.
func (m *Members) BeatDigest() []Beat {
	beats := m.Beats()
	for i := range beats {
		beats[i].Loads = nil
	}
	return beats
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
		addLoads(loads, p.beat.Loads, p.peer.LastHeard)
	}
	return loads
}

// HasLoads reports whether any backend server of the zone is in use. Heartbeats contain only the loads of those.
func (m *Members) HasLoads() bool {
	if len(m.loads) > 0 {
		return true
	}
	for _, p := range m.peers {
		if len(p.beat.Loads) > 0 {
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

// Staying returns the live entry hosts that are not leaving. Only these may own backend servers and lead models.
func (m *Members) Staying(now time.Time) []model.Peer {
	return slices.DeleteFunc(m.Live(now), func(p model.Peer) bool { return p.Leaving })
}

// Dead returns the incarnations that are known to have failed, sorted.
func (m *Members) Dead() []model.Incarnation {
	failed := make([]model.Incarnation, 0, len(m.failed))
	for incarnation := range m.failed {
		failed = append(failed, incarnation)
	}
	slices.Sort(failed)
	return failed
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
		return silence < RefusedDeadAfter
	}
	return silence < DeadAfter
}

// Replaced records that an incarnation has failed, because another incarnation answered at its address.
func (m *Members) Replaced(incarnation model.Incarnation) {
	m.failed[incarnation] = true
}
