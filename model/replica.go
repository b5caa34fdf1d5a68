package model

import "time"

// Replica is a loaded model version on a backend server, in the view of the routers.
type Replica struct {
	Key         ModelKey
	Backend     string
	Born        int64 // start time of the backend server, 0 if unknown
	Zone        string
	Address     string // IP:port of the engine
	Service     string
	Software    string // version of the backend server's software, empty if it states none
	Adapters    []string
	Capacity    int  // requests the engine's batch can hold
	CacheTokens int  // tokens that the engine's memory holds, 0 if unknown
	Running     int  // from the owner's last report
	Waiting     int  // from the owner's last report
	Credits     int  // number of requests that the owner allows this entry host to add
	Draining    bool // gets no new requests
	UpdatedAt   time.Time
}

// ServiceEndpoint is a host of a plain service.
type ServiceEndpoint struct {
	Service string
	Backend string // ID on the platform, empty if the host has none
	Born    int64  // start time of the backend server, 0 if unknown
	Zone    string
	Address string
	Leaving bool

	Software string // version of the backend server's software, empty if it states none
}

// Snapshot is an immutable view of the replicas and endpoints to which requests can be routed. Request handlers read it
// through an atomic pointer.
type Snapshot struct {
	Version  int64
	Complete bool // the configuration and the host list are known
	Zone     string
	Routers  int            // number of live entry hosts in the zone, 0 counts as 1
	Hosts    int            // number of live entry hosts in all zones, 0 if unknown
	Models   []*RoutedModel // shared with other snapshots and never changed
	Services []ServiceEndpoint
	Suspects []Suspect

	// Declared is equal in snapshots whose Models hold the same keys in the same order. It is 0 if that is not known.
	Declared int64 `json:"-"`
}

// RoutedModel is a declared model version with its replicas.
type RoutedModel struct {
	Declaration ModelDeclaration
	Service     string
	Replicas    []Replica
}

// Fingerprint is a hash that identifies the content of a request.
type Fingerprint uint64

// Suspect is a request that was running when a backend server failed and that may have caused the failure.
// Two views of one suspect are merged by routing.MergeSuspect.
type Suspect struct {
	Fingerprint Fingerprint
	Deaths      int // the number of backend servers in Lost
	Lost        []BackendCrash
	Recent      bool      // the request started shortly before the first failure
	Tokens      int       // longest response at the time of a failure, in tokens
	RefuseUntil time.Time // with too many crashes, the request is refused until then
	ClearedAt   time.Time // time of a complete response; failures before it do not count

	Holder    string    // the only entry host that may run the request now
	HeldUntil time.Time // until then Holder is valid
	Epoch     int64     // increased with each change of Holder
}

// BackendCrash is the failure of a backend server while a suspect was running on it.
type BackendCrash struct {
	Backend string
	At      time.Time
}

// LoadDemand notifies the leader of a model that requests wait for the model or an adapter to be loaded.
type LoadDemand struct {
	Key      ModelKey
	Adapter  string
	Software string    `cbor:",omitempty"` // version of the backend servers that may serve the requests, empty for any
	Waiting  int       // number of waiting requests
	Priority int       // highest priority among the waiting requests
	Deadline time.Time // the earliest deadline among the waiting requests
}

// SuspectPart is a part of prompts whose requests were running when backend servers crashed and that may have caused the
// crashes. Two views of one part are merged by routing.MergeSuspectPart.
type SuspectPart struct {
	Part    string
	Depth   int         // its position in the prompts, 0 for the first part
	Crashes []PartCrash // after the response to a request had begun, by time, without those up to SoundAt
	Unbegun []PartCrash // before the first byte of the response, in the same way
	SoundAt time.Time   // when a request with the part was last found not to crash its backend server, zero if never
}

// PartCrash is the failure of a backend server that had a request with a suspect part.
type PartCrash struct {
	Backend string
	At      time.Time
	Request Fingerprint
}
