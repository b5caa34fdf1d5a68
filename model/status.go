package model

import "time"

// BackendStatus is the status of a backend server that its owner publishes to all entry hosts.
type BackendStatus struct {
	Backend      string
	Zone         string
	Service      string
	Address      string // IP:port of the engine
	OwnerName    string
	OwnerAddress string // peer address of the owner
	Term         int64  // fencing token of the owner
	Version      int64  // increases with each change under one Term
	MemoryBytes  int64
	FreeBytes    int64
	Capacity     int    // requests the engine's batch can hold
	Software     string `cbor:",omitempty"` // version of the engine's software, empty if it states none
	Replicas     []ReplicaStatus
	Checkpoints  []Checkpoint `cbor:"-"` // published separately, because they change less often
	Standing     []ModelKey   // model versions with a standing reservation
	Refused      []RefusedLoad
}

// RefusedLoad is a load that a backend server refused recently.
type RefusedLoad struct {
	Key    ModelKey
	Reason string
	Until  time.Time // earliest time of the next attempt
}

// ReplicaStatus is the state of one model version on a backend server.
type ReplicaStatus struct {
	Key       ModelKey
	State     ReservationState
	Draining  bool
	Adapters  []string
	IdleSince time.Time // zero while in use
}

// Usage is the number of requests that one router has sent to a replica since its last report.
type Usage struct {
	Backend  string
	Key      ModelKey
	Adapter  string
	Requests int // sent since the last report
	Running  int // in progress at the time of the report
	Tokens   int `cbor:",omitempty"` // of the prompts and longest possible answers of these
}
