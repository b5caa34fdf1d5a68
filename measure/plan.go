// Package measure runs experiments: it sends open-loop load to entry hosts in front of stand-ins, injects faults at planned
// times and sums up outcomes and latencies.
package measure

import (
	"time"

	"citronspread/fleet"
)

// Plan describes an experiment.
type Plan struct {
	Name     string
	Source   string // YAML source
	Seed     uint64
	Scale    string // description of how the sizes relate to those of the deployment
	Repeats  int
	WarmUp   time.Duration // load that is not counted
	Duration time.Duration // counted load, after the warm-up
	Layout   fleet.Layout
	Models   Models
	Load     Load
	Classes  []Class
	Faults   []Fault
	Variants []Variant
}

// Models describes the declared models. Their popularity follows Zipf's law.
type Models struct {
	Count        int
	Bytes        int64
	Replicas     int
	Warm         int
	Adapters     int
	AdapterShare float64 // share of the completion requests that name an adapter
	ZipfExponent float64
}

// Load describes the arrival rate. During a swing it is multiplied by SwingFactor.
type Load struct {
	RequestsPerSecond float64
	BurstInterval     time.Duration
	BurstSize         int           // requests for one unpopular model at many entry hosts, 0 for no bursts
	SwingAt           time.Duration // after the end of the warm-up
	SwingDuration     time.Duration
	SwingFactor       float64
}

// Class is a class of requests with the same properties.
type Class struct {
	Name         string
	Service      string  // plain service, empty for completions
	Share        float64 // of all requests
	MedianTokens float64
	TokenSigma   float64 // standard deviation of the logarithm of the number of tokens
	MaxTokens    int
	Timeout      time.Duration
	Priority     int
	Stream       bool
}

// Fault is a fault that is posted to stand-ins at a planned time.
type Fault struct {
	At     time.Duration // after the end of the warm-up
	Target string        // Store, Hosts, Engine or Service
	Index  int           // of the engine or service
	Step   int           // if not 0, the fault is posted to every Step-th engine or service from Index on
	Body   string        // JSON

	RepeatInterval time.Duration // 0 for once
	Times          int
}

// Values of Variant.Picker, the policy that chooses a replica.
const (
	pickLatency          = "Latency" // better of two random replicas by observed latency
	pickLeastOutstanding = "Least"   // fewest outstanding requests
	pickRandom           = "Random"
	pickCredit           = "Credit" // credits issued by the owner
)

// Variant is a set of settings and policies of all entry hosts under which the plan is run.
type Variant struct {
	Name                 string
	MinKeepAlive         time.Duration
	MaxKeepAlive         time.Duration
	FreeLoads            int
	StandingReservations int
	Picker               string
	LongCapShare         float64 // maximum share of a batch for long streams, 1 for no limit
	LongFloorShare       float64 // share of a batch reserved for long streams
	MaxMoves             int     // maximum moves of a stream away from slow backend servers
	EqualPriorities      bool    // send all classes with the same priority
}
