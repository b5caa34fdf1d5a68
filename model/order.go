package model

import "time"

// OrderKind is what an order asks an engine to do.
type OrderKind string

// Order kinds.
const (
	OrderLoad          OrderKind = "Load"
	OrderUnload        OrderKind = "Unload"
	OrderLoadAdapter   OrderKind = "LoadAdapter"
	OrderUnloadAdapter OrderKind = "UnloadAdapter"
)

// Order asks an engine to change what it holds. It is sent at most once.
type Order struct {
	ID      string
	Kind    OrderKind
	Key     ModelKey
	Adapter string
	Bytes   int64
	Term    int64 // fencing number
}

// Tier is where a checkpoint is cached.
type Tier string

// Tiers, the fastest first.
const (
	TierMemory Tier = "Memory"
	TierDisk   Tier = "Disk"
	TierRemote Tier = "Remote"
)

// LoadedModel is a model version that an engine lists.
type LoadedModel struct {
	Key      ModelKey
	Bytes    int64
	Ready    bool // false while it is being loaded
	Running  int  // requests of this model version that run or wait in the engine
	Adapters []string
}

// Observation is what an engine says of itself.
type Observation struct {
	Backend     string
	Incarnation Incarnation // changes when the engine restarts
	MemoryBytes int64
	Term        int64 // highest fencing number seen, 0 when it checks none
	Models      []LoadedModel
	Checkpoints []Checkpoint
	Load        LoadReport
}

// Checkpoint tells where an engine finds the weights of a model version.
type Checkpoint struct {
	Key  ModelKey
	Tier Tier
}

// LoadReport is an engine's late report of its load.
type LoadReport struct {
	Running  int // requests in the batch
	Waiting  int // requests queued in the engine
	Capacity int // requests the batch can hold
	TakenAt  time.Time
}
