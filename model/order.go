package model

import "time"

// OrderKind is the operation that an order requests.
type OrderKind string

const (
	OrderLoad          OrderKind = "Load"
	OrderUnload        OrderKind = "Unload"
	OrderLoadAdapter   OrderKind = "LoadAdapter"
	OrderUnloadAdapter OrderKind = "UnloadAdapter"
)

// Order instructs an engine to load or unload a model version or an adapter. It is sent at most once.
type Order struct {
	ID      string
	Kind    OrderKind
	Key     ModelKey
	Adapter string
	Bytes   int64
	Term    int64 // fencing token
}

// Tier is the storage in which a checkpoint is available.
type Tier string

// Tiers, fastest first.
const (
	TierMemory Tier = "Memory"
	TierDisk   Tier = "Disk"
	TierRemote Tier = "Remote"
)

// LoadedModel is a model version that an engine lists as loaded or loading.
type LoadedModel struct {
	Key      ModelKey
	Bytes    int64
	Ready    bool // false while it is being loaded
	Running  int  // requests of this model version that are running or queued in the engine
	Adapters []string
}

// Observation is the state that an engine reports.
type Observation struct {
	Backend     string
	Incarnation Incarnation // changes when the engine restarts
	MemoryBytes int64
	Term        int64 // highest fencing token received, 0 if the engine checks none
	Models      []LoadedModel
	Checkpoints []Checkpoint
	Load        LoadReport
}

// Checkpoint is the fastest storage from which an engine can load the weights of a model version.
type Checkpoint struct {
	Key  ModelKey
	Tier Tier
}

// LoadReport is an engine's report of its load, as it was at TakenAt.
type LoadReport struct {
	Running  int    // requests in the batch
	Waiting  int    // requests queued in the engine
	Capacity int    // requests the batch can hold
	Software string `json:",omitempty"` // version of the engine's software, empty if it states none
	TakenAt  time.Time
}
