// Package model defines the data types that the other packages share: hosts, backend servers, models, replicas,
// configuration records and orders. Types that are encoded for peers or the store keep their field names.
package model

import "time"

// HostState is the state of a host in the platform's host list.
type HostState string

const (
	HostLive    HostState = "Live"
	HostLeaving HostState = "Leaving"
)

// HostKind is the role of a host.
type HostKind string

const (
	KindEntry   HostKind = "Entry"   // entry host
	KindBackend HostKind = "Backend" // backend server
	KindService HostKind = "Service" // host of a plain service
)

// Host is an entry of the platform's host list.
type Host struct {
	Name    string
	Kind    HostKind
	Zone    string
	Region  string
	Address string // IP:port that other hosts connect to
	State   HostState
	Service string // service of a backend server or of a service host
}

// Incarnation identifies one run of an entry host or of an engine process, from its start to its end.
type Incarnation string

// Peer is an entry host as recorded in the membership of a zone.
type Peer struct {
	Name        string
	Zone        string
	Address     string // peer address, IP:port
	Incarnation Incarnation
	Leaving     bool
	LastHeard   time.Time // when its latest heartbeat was received, or when it was added
	LinkMbps    float64   // bandwidth of its link in Mbit/s, 0 if unknown
}
