// Package settings reads and validates the YAML settings of an entry host.
package settings

import (
	"time"

	"citronspread/model"
)

// Deployment names. A named deployment sets the keep-alive weights; Custom requires them in the file.
const (
	DeploymentQureshi = "Qureshi"
	DeploymentTorwerk = "Torwerk"
	DeploymentCustom  = "Custom"
)

// Settings are the settings that an entry host reads at start. Load and Parse return them validated.
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
	Seeds           []string      // peer addresses that the host contacts first
	LogLevel        string        // Debug, Info, Warn or Error
	BalancerLag     time.Duration // time until the balancer stops sending requests to a host that is not ready
	Deadlines       Deadlines
	Limits          Limits
	WeightStore     WeightStore
	KeepAlive       KeepAlive
	Workspaces      []model.Workspace // with names, keys and priorities; empty if callers need no keys

	// StandingReservations is the number of loads that may be reserved in advance on each backend server.
	StandingReservations int
}

// Deadlines are the time limits of requests and of the steps in handling them.
type Deadlines struct {
	Request        time.Duration // for a caller's request without its own deadline
	LongestRequest time.Duration // longest deadline that a caller may set
	Header         time.Duration // for reading a request's headers
	Body           time.Duration // for reading a request's body
	StoreCall      time.Duration
	Connect        time.Duration
	Order          time.Duration // an order reaches its backend server within this time or never
	Shutdown       time.Duration // for a graceful shutdown
}

// Limits are the size and count limits of one entry host.
type Limits struct {
	BodyBytes   int64
	HeaderBytes int64
	QueueLength int // waiting requests
	Connections int
}

// WeightStore holds the limits of the weight store, which all zones share.
type WeightStore struct {
	LoadsPerSecond   float64
	ParallelLoads    int // concurrent model loads at full speed
	ParallelAdapters int // concurrent adapter loads at full speed
}

// KeepAlive controls how long idle replicas stay loaded. The weights set the cost of a cold start against that of
// idle accelerator time.
type KeepAlive struct {
	ColdStartWeight float64
	IdleWeight      float64
	Shortest        time.Duration // lower limit of the keep-alive time
	Longest         time.Duration // upper limit of the keep-alive time
	FreeLoads       int           // loads for which memory is freed in advance by unloading idle replicas
}
