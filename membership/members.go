// Package membership decides which entry hosts of an availability zone live and which of them owns or leads what.
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

// Times of the failure detection.
const (
	// DeadAfter is how long a peer may be silent before it counts as dead.
	DeadAfter = 5 * time.Second
	// RefusedDeadAfter is how long a peer may be silent after it refused a connection.
	RefusedDeadAfter = 1500 * time.Millisecond
	// forgetAfter is how long a silent peer is kept in the table.
	forgetAfter = 10 * time.Minute
)

// BeatID names one incarnation of an entry host in heartbeats.
type BeatID uint32

// NewBeatID returns the heartbeat name of an incarnation.
func NewBeatID(incarnation model.Incarnation) BeatID {
	return BeatID(xxhash.Sum64String(string(incarnation)))
}

// Load is the quantised load of one backend server, sent with its owner's heartbeat.
type Load struct {
	_       struct{} `cbor:",toarray"`
	Backend BackendID
	Running int
	Waiting int
	Age     AgeTenths // from the engine's report to the heartbeat
}

// BackendID names a backend server in heartbeats.
type BackendID uint32

// NewBackendID returns the heartbeat name of a backend server.
func NewBackendID(backend string) BackendID { return BackendID(xxhash.Sum64String(backend)) }

// AgeTenths is an age in tenths of a second.
type AgeTenths uint8

// ageUnit is the unit of AgeTenths.
const ageUnit = 100 * time.Millisecond

// NewAgeTenths rounds an age. A clock that differs from the engine's gives no negative age.
func NewAgeTenths(age time.Duration) AgeTenths {
	return AgeTenths(min(max(age.Round(ageUnit)/ageUnit, 0), math.MaxUint8))
}

// Duration returns the age.
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

// Members is the view that one entry host has of its availability zone. It is used by the control thread alone.
type Members struct {
	Self model.Peer

	counter uint64
	loads   []Load
	peers   map[string]*member // by host name
	early   map[BeatID]Beat    // heartbeats of incarnations that are not known yet
	dead    map[model.Incarnation]bool
}

// NewMembers returns a view that holds self alone.
func NewMembers(self model.Peer) *Members {
	return &Members{
		Self:  self,
		peers: make(map[string]*member),
		early: make(map[BeatID]Beat),
		dead:  make(map[model.Incarnation]bool),
	}
}

// Introduce adds a peer or a new incarnation of it. A replaced incarnation at the same address is known to be dead.
func (m *Members) Introduce(now time.Time, peer model.Peer) {
	if peer.Zone != m.Self.Zone || peer.Name == m.Self.Name {
		return
	}
	held, ok := m.peers[peer.Name]
	if ok && held.peer.Incarnation == peer.Incarnation {
		held.peer.Leaving = peer.Leaving
		return
	}
	if ok && held.peer.Address == peer.Address {
		m.dead[held.peer.Incarnation] = true
	}
	peer.LastHeard = now
	added := &member{peer: peer, beat: Beat{ID: NewBeatID(peer.Incarnation)}}
	m.peers[peer.Name] = added
	if beat, ok := m.early[added.beat.ID]; ok {
		added.beat = beat
		delete(m.early, beat.ID)
	}
}

// Beat raises the host's own heartbeat and sets the loads that go with it.
func (m *Members) Beat(loads []Load) {
	m.counter++
	m.loads = loads
}

// Hear takes in heartbeats that a peer passed on.
func (m *Members) Hear(now time.Time, beats []Beat) {
	for _, b := range beats {
		m.hear(now, b)
	}
}

func (m *Members) hear(now time.Time, beat Beat) {
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
	if beat.ID != NewBeatID(m.Self.Incarnation) && beat.Counter > m.early[beat.ID].Counter {
		m.early[beat.ID] = beat
	}
}

// Refused notes that a peer's address refused a connection.
func (m *Members) Refused(name string) {
	if p, ok := m.peers[name]; ok {
		p.refused = true
	}
}

// Gone notes that the platform's list no longer holds a host.
func (m *Members) Gone(name string) {
	p, ok := m.peers[name]
	if !ok {
		return
	}
	m.dead[p.peer.Incarnation] = true
	delete(m.peers, name)
}

// Names returns the names of the known peers.
func (m *Members) Names() []string {
	names := make([]string, 0, len(m.peers))
	for _, p := range m.sorted() {
		names = append(names, p.peer.Name)
	}
	return names
}

// Beats returns all heartbeats, the host's own first.
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

// BeatsWanted returns the names of the heartbeats in the digest that are newer than the held ones.
func (m *Members) BeatsWanted(digest []Beat) []BeatID {
	counters := make(map[BeatID]uint64, len(digest))
	for _, b := range m.Beats() {
		counters[b.ID] = b.Counter
	}
	var wanted []BeatID
	for _, b := range digest {
		if b.Counter > counters[b.ID] {
			wanted = append(wanted, b.ID)
		}
	}
	return wanted
}

// SelectBeats returns the heartbeats with the given names.
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

// DatedLoad is the load of a backend server and when its engine reported it, as far as is known here.
type DatedLoad struct {
	Running int
	Waiting int
	TakenAt time.Time
}

// LoadsByBackend returns the latest loads of the zone's backend servers.
func (m *Members) LoadsByBackend(now time.Time) map[BackendID]DatedLoad {
	loads := make(map[BackendID]DatedLoad)
	addLoads(loads, m.loads, now)
	for _, p := range m.peers {
		addLoads(loads, p.beat.Loads, p.peer.LastHeard)
	}
	return loads
}

// HasLoads reports whether a backend server of the zone is in use.
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

// addLoads keeps the newer of two reports on one backend server.
func addLoads(loads map[BackendID]DatedLoad, reported []Load, heard time.Time) {
	for _, l := range reported {
		takenAt := heard.Add(-l.Age.Duration())
		if held, ok := loads[l.Backend]; !ok || takenAt.After(held.TakenAt) {
			loads[l.Backend] = DatedLoad{Running: l.Running, Waiting: l.Waiting, TakenAt: takenAt}
		}
	}
}

// Live returns the entry hosts of the zone that live, self among them, sorted by name.
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

// Staying returns the live entry hosts that are not leaving: those that may own and lead.
func (m *Members) Staying(now time.Time) []model.Peer {
	return slices.DeleteFunc(m.Live(now), func(p model.Peer) bool { return p.Leaving })
}

// Dead returns the incarnations that are known to be dead.
func (m *Members) Dead() []model.Incarnation {
	dead := make([]model.Incarnation, 0, len(m.dead))
	for incarnation := range m.dead {
		dead = append(dead, incarnation)
	}
	slices.Sort(dead)
	return dead
}

// Forget drops peers that have been silent for long.
func (m *Members) Forget(now time.Time) {
	for name, p := range m.peers {
		if now.Sub(p.peer.LastHeard) > forgetAfter {
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

// Replaced notes that the address of an incarnation answers as another one.
func (m *Members) Replaced(incarnation model.Incarnation) {
	m.dead[incarnation] = true
}
