// Package settings reads and checks the settings of an entry host.
package settings

import "time"

// Deployment names.
const (
	DeploymentQureshi = "Qureshi"
	DeploymentTorwerk = "Torwerk"
	DeploymentCustom  = "Custom"
)

// Settings is what an entry host learns at start. All of it is checked.
type Settings struct {
	Name            string
	Zone            string
	Region          string
	Deployment      string
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	StoreAddress    string
	HostListAddress string
	Seeds           []string // peer addresses that are asked first
	LogLevel        string   // Debug, Info, Warn or Error
	BalancerLag     time.Duration
	Deadlines       Deadlines
	Limits          Limits
	WeightStore     WeightStore
	KeepAlive       KeepAlive

	// StandingReservations is how many loads may be reserved in advance on each backend server.
	StandingReservations int
}

// Deadlines bound how long things may take.
type Deadlines struct {
	Request        time.Duration // of a caller's request that names none
	LongestRequest time.Duration // the most that a caller may ask for
	Header         time.Duration // reading a request's headers
	Body           time.Duration // reading a request's body
	StoreCall      time.Duration
	Connect        time.Duration
	Order          time.Duration // the longest order delay
	Shutdown       time.Duration // the longest graceful shutdown
}

// Limits bound sizes and numbers.
type Limits struct {
	BodyBytes   int64
	HeaderBytes int64
	QueueLength int // waiting requests in one entry host
	Connections int
}

// WeightStore states the permits of the zone's weight store, shared by all zones.
type WeightStore struct {
	LoadsPerSecond   float64
	ParallelLoads    int
	ParallelAdapters int
}

// KeepAlive weighs idle accelerator time against cold starts.
type KeepAlive struct {
	ColdStartWeight float64
	IdleWeight      float64
	Shortest        time.Duration
	Longest         time.Duration
	FreeLoads       int // loads that a backend server has room for, because idle replicas are unloaded ahead
}
