// Package model holds the plain data that the other packages share.
package model

import "time"

// HostState is the state of a host in the platform's host list.
type HostState string

// Host states.
const (
	HostLive    HostState = "Live"
	HostLeaving HostState = "Leaving"
)

// HostKind tells what runs on a host.
type HostKind string

// Host kinds.
const (
	KindEntry   HostKind = "Entry"
	KindBackend HostKind = "Backend"
	KindService HostKind = "Service"
)

// Host is one line of the platform's host list.
type Host struct {
	Name    string
	Kind    HostKind
	Zone    string
	Region  string
	Address string // IP:port that peers or callers of this host connect to
	State   HostState
	Service string // the service that a backend server or a service host belongs to
}

// Incarnation identifies one life of an entry host or of an engine process.
type Incarnation string

// Peer is an entry host as the membership of a zone sees it.
type Peer struct {
	Name        string
	Zone        string
	Address     string // peer address, IP:port
	Incarnation Incarnation
	Leaving     bool
	LastHeard   time.Time
}
