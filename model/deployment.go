package model

import "time"

// RouteKind defines whether requests on a route may be repeated.
type RouteKind string

const (
	RouteIdempotent RouteKind = "Idempotent" // may run more than once
	RouteOnce       RouteKind = "Once"       // runs at most once
	RouteStream     RouteKind = "Stream"     // served with a stream of events
)

// DesiredState is one version of the operators' configuration of routes and services.
type DesiredState struct {
	Version  int64
	Routes   []Route
	Services map[string]ServiceSpec
	Limits   ConnectionLimits

	Workspaces []Workspace // empty if callers need no keys
}

// Route assigns the requests for one host name and path prefix to services.
type Route struct {
	Name          string
	Host          string // host name that callers request
	Prefix        string // starts and ends with a slash
	Kind          RouteKind
	Timeout       time.Duration  // maximum duration of a request
	LatencyTarget time.Duration  // of a stream: until its first event
	GapTarget     time.Duration  // longest acceptable time between two events of a stream
	Priority      int            // 0 is the most urgent
	Shares        []ServiceShare // at least one
	MaxAttempts   int            // maximum number of backend servers that may run one request
	Anonymous     bool           // callers need no key
	Resumable     bool           // an interrupted stream may continue on another backend server
}

// ServiceShare is the share of a route's requests that a service receives.
type ServiceShare struct {
	Service string
	Weight  float64 // relative to the weights of the other services
}

// ServiceSpec describes a service.
type ServiceSpec struct {
	Name   string
	Engine *EngineSpec // nil for a plain service
}

// EngineSpec describes the capacity of each backend server of a model service.
type EngineSpec struct {
	Slots          int     // requests in one batch
	WeightMB       float64 // memory for weights and adapters
	AdapterSlots   int     // adapters that can be loaded at once
	LoadsPerSecond float64 // from the weight store, over all backend servers
	CacheTokens    int     // memory for the tokens of running requests and of cached prompts
	Models         map[string]ModelSpec
}

// ModelSpec describes the size and the load times of a model.
type ModelSpec struct {
	Name       string
	MB         float64       // memory of the weights
	AdapterMB  float64       // of each of its adapters
	ColdLoad   time.Duration // from the weight store
	DiskLoad   time.Duration // from the backend server's disk
	MemoryLoad time.Duration // from the backend server's memory
}

// ConnectionLimits limits the requests and connections of callers.
type ConnectionLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration // for reading the header of a request
	IdleTimeout   time.Duration // of a connection between requests
}

// BackendIncarnation identifies one incarnation of a backend server process. An ID may be reused, with another start
// time.
type BackendIncarnation struct {
	ID   string
	Born int64 // start time, in Unix milliseconds
}

// BackendListing is the entry of a backend server in the platform's list.
type BackendListing struct {
	Life     BackendIncarnation
	Service  string
	Address  string // IP:port
	Zone     string
	Software string // version of the backend server's software, empty if it states none
	Slots    int
	Draining bool
	Models   []string // loaded models
	InMemory []string // models whose weights are cached in the backend server's memory
	OnDisk   []string // models whose weights are cached on the backend server's disk
	Sequence int64    // number of orders accepted in this incarnation
	Revision int64    // revision of the entry in the store
}

// BackendReport is the report of a backend server on its loaded and cached models.
type BackendReport struct {
	Life     BackendIncarnation
	Sequence int64 // number of orders accepted in this incarnation
	Busy     bool  // an order to load or unload a model is in progress
	Models   []ReportedModel
	Pending  []PendingAdapter
	InMemory []string // models whose weights are cached in the backend server's memory
	OnDisk   []string // models whose weights are cached on the backend server's disk
	Leaving  bool     // the response stated that the backend server is leaving
}

// ReportedModel is a loaded model with its loaded adapters.
type ReportedModel struct {
	Name     string
	Adapters []string
}

// PendingAdapter is an adapter that is being loaded.
type PendingAdapter struct {
	Model   string
	Adapter string
}
