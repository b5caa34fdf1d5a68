package model

import "time"

// BackendStatus is what the owner of a backend server tells all entry hosts.
type BackendStatus struct {
	Backend      string
	Zone         string
	Service      string
	Address      string // IP:port of the engine
	OwnerName    string
	OwnerAddress string // peer address of the owner
	Term         int64
	Version      int64 // rises with each change under one term
	MemoryBytes  int64
	FreeBytes    int64
	Capacity     int // requests the engine's batch can hold
	Replicas     []ReplicaStatus
	Checkpoints  []Checkpoint `cbor:"-"` // told apart from the rest, because they change less
	Standing     []ModelKey   // loads that have a standing reservation
	Refused      []RefusedLoad
}

// RefusedLoad is a load that a backend server did not carry out a short while ago.
type RefusedLoad struct {
	Key    ModelKey
	Reason string
	Until  time.Time // not to be tried again before
}

// ReplicaStatus is the state of one model version on a backend server.
type ReplicaStatus struct {
	Key       ModelKey
	State     ReservationState
	Draining  bool
	Adapters  []string
	IdleSince time.Time // zero while in use
}

// Usage counts the requests that one router sent to a replica since its last report.
type Usage struct {
	Backend  string
	Key      ModelKey
	Adapter  string
	Requests int
	Running  int // open when the report was made
}
