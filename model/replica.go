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
	Credits   int  // requests that the owner lets this entry host add
	Draining  bool // gets no new work
	UpdatedAt time.Time
}

// ServiceEndpoint is a host of a plain service.
type ServiceEndpoint struct {
	Service string
	Backend string // ID on the platform, empty where hosts have none
	Zone    string
	Address string
	Leaving bool
}

// Snapshot is an immutable view of what can be routed to. Traffic threads read it through an atomic pointer.
type Snapshot struct {
	Version  int64
	Complete bool // the configuration and the host list are known
	Zone     string
	Routers  int // live entry hosts of the zone, 0 counts as 1
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
// Two views of one suspect are merged by routing.MergeSuspect.
type Suspect struct {
	Fingerprint Fingerprint
	Deaths      int // the number of backend servers in Lost
	Lost        []Death
	Recent      bool // it had begun shortly before the first death
	Tokens      int  // the longest answer that it had brought at a death
	RefuseUntil time.Time
	ClearedAt   time.Time // a whole answer was given; deaths before it do not count

	Holder    string // the entry host that alone may run it now
	HeldUntil time.Time
	Epoch     int64 // raised by each change of Holder
}

// Death is the loss of a backend server while a suspect was running on it.
type Death struct {
	Backend string
	At      time.Time
}

// Wake asks the lead of a model to load it, because requests wait for it.
type Wake struct {
	Key      ModelKey
	Adapter  string
	Waiting  int
	Priority int
	Deadline time.Time // the earliest deadline among the waiting requests
}
