package model

import "time"

// Replica is a loaded model version on a backend server, as the routers see it.
type Replica struct {
	Key       ModelKey
	Backend   string
	Zone      string
	Address   string // IP:port of the engine
	Service   string
	Adapters  []string
	Capacity  int  // requests the engine's batch can hold
	Running   int  // from the owner's last report
	Waiting   int  // from the owner's last report
	Draining  bool // gets no new work
	UpdatedAt time.Time
}

// ServiceEndpoint is a host of a plain service.
type ServiceEndpoint struct {
	Service string
	Zone    string
	Address string
	Leaving bool
}

// Snapshot is an immutable view of what can be routed to. Traffic threads read it through an atomic pointer.
type Snapshot struct {
	Version  int64
	Zone     string
	Models   []RoutedModel
	Services []ServiceEndpoint
	Suspects []Suspect
}

// RoutedModel is a declared model version with its replicas.
type RoutedModel struct {
	Declaration ModelDeclaration
	Service     string
	Replicas    []Replica
}

// Fingerprint identifies a request's content by hash.
type Fingerprint uint64

// Suspect is a request that was running when a backend server died.
type Suspect struct {
	Fingerprint Fingerprint
	Deaths      int
	RefuseUntil time.Time
}

// Wake asks the lead of a model to load it, because requests wait for it.
type Wake struct {
	Key      ModelKey
	Adapter  string
	Waiting  int
	Priority int
	Deadline time.Time // the earliest deadline among the waiting requests
}
