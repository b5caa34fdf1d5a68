package model

import "time"

// RouteKind says what may be repeated of the requests on a route.
type RouteKind string

// Route kinds.
const (
	RouteIdempotent RouteKind = "Idempotent" // may run more than once
	RouteOnce       RouteKind = "Once"       // runs at most once
	RouteStream     RouteKind = "Stream"     // answered by a stream of events
)

// DesiredState is one version of what the operators want to be served.
type DesiredState struct {
	Version  int64
	Routes   []Route
	Services map[string]ServiceSpec
	Limits   ConnectionLimits
}

// Route sends the requests of one host and path prefix to a service.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Kind          RouteKind
	Timeout       time.Duration  // the longest time that a caller is kept waiting
	LatencyTarget time.Duration  // of a stream: up to its first event
	GapTarget     time.Duration  // the longest pause between events of a stream that is in time
	Priority      int            // 0 is the most urgent
	Shares        []ServiceShare // at least one
	MaxAttempts   int            // backend servers that one request may be sent to
	Resumable     bool           // a broken stream may go on at another backend server
}

// ServiceShare is the part of a route's requests that a service gets.
type ServiceShare struct {
	Service string
	Weight  float64
}

// ServiceSpec describes a service.
type ServiceSpec struct {
	Name   string
	Engine *EngineSpec // nil for a plain service
}

// EngineSpec describes what the backend servers of a model service can hold.
type EngineSpec struct {
	Slots          int // requests in one batch
	WeightMB       float64
	AdapterSlots   int
	LoadsPerSecond float64 // from the weight store, over all backend servers
	Models         map[string]ModelSpec
}

// ModelSpec describes a model that may be loaded.
type ModelSpec struct {
	Name       string
	MB         float64
	AdapterMB  float64       // of each of its adapters
	ColdLoad   time.Duration // from the weight store
	DiskLoad   time.Duration // from the backend server's disk
	MemoryLoad time.Duration // from the backend server's memory
}

// ConnectionLimits bound what callers may send.
type ConnectionLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Life identifies one life of a backend server process. IDs may come again, with another start.
type Life struct {
	ID   string
	Born int64 // start, in Unix milliseconds
}

// Listing is what a backend server says of itself in the platform's list.
type Listing struct {
	Life     Life
	Service  string
	Address  string // IP:port
	Zone     string
	Slots    int
	Draining bool
	Models   []string
	InMemory []string // models whose weights are cached in the host's memory
	OnDisk   []string // models whose weights are cached on the host's disk
	Sequence int64    // orders accepted in this life
	Revision int64    // of the entry in the store
}

// Holdings is what a backend server reports that it holds.
type Holdings struct {
	Life     Life
	Sequence int64
	Busy     bool // a model order is under way
	Models   []HeldModel
	Pending  []PendingAdapter
	InMemory []string
	OnDisk   []string
}

// HeldModel is a loaded model with its adapters.
type HeldModel struct {
	Name     string
	Adapters []string
}

// PendingAdapter is an adapter that is still on its way.
type PendingAdapter struct {
	Model   string
	Adapter string
}
