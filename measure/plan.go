// Package measure runs experiments: open-loop load on entry hosts and stand-ins, with faults on a timeline.
package measure

import (
	"time"

	"citronspread/fleet"
)

// Plan is one experiment.
type Plan struct {
	Name     string
	Text     string // the YAML it was read from
	Seed     uint64
	Scale    string // how the sizes relate to those of the deployment
	Repeats  int
	WarmUp   time.Duration // load without being counted
	Duration time.Duration // counted load
	Layout   fleet.Layout
	Models   Models
	Load     Load
	Classes  []Class
	Faults   []Fault
	Variants []Variant
}

// Models are the declared models. Their popularity falls by rank as in Zipf's law.
type Models struct {
	Count        int
	Bytes        int64
	Replicas     int
	Warm         int
	Adapters     int
	AdapterShare float64 // of the requests to models
	ZipfExponent float64
}

// Load is the rate of arrivals.
type Load struct {
	RequestsPerSecond float64
	BurstEvery        time.Duration
	BurstSize         int // requests for one unpopular model at many entry hosts
	SwingAt           time.Duration
	SwingLength       time.Duration
	SwingFactor       float64
}

// Class is one kind of requests.
type Class struct {
	Name         string
	Service      string // a plain service; empty for completions
	Share        float64
	MedianTokens float64
	TokenSpread  float64 // standard deviation of the logarithm
	MostTokens   int
	Timeout      time.Duration
	Priority     int
	Stream       bool
}

// Fault is posted to a stand-in at a time.
type Fault struct {
	At     time.Duration
	Target string // Store, Hosts, Engine or Service
	Index  int    // among the engines or services
	Every  int    // the fault goes to each Every-th engine from Index on, 0 for one only
	Body   string // JSON

	RepeatEvery time.Duration // 0 for once
	Times       int
}

// Names of the ways to choose a replica.
const (
	pickLatency = "Latency" // two choices on observed latency
	pickLeast   = "Least"   // least outstanding
	pickRandom  = "Random"
	pickCredit  = "Credit" // credits issued by the owner
)

// Variant changes settings and policies of all entry hosts.
type Variant struct {
	Name                 string
	ShortestKeepAlive    time.Duration
	LongestKeepAlive     time.Duration
	FreeLoads            int
	StandingReservations int
	Picker               string
	LongCapShare         float64 // largest share of a batch for long streams, 1 for no cap
	LongFloorShare       float64 // share of a batch that long work is sure to get
	MaxMoves             int     // of a stream that a slowed backend server delays
	EqualPriorities      bool    // all classes are sent with one priority
}
