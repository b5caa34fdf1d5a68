// Package slopes measures how the resource use of the control plane on an entry host grows with the size of the system,
// and fits regression lines to it. It also measures how long the system takes to recover from failures.
package slopes

import (
	"fmt"
	"strings"
	"time"

	"citronspread/fleet"
	"citronspread/settings"
	"citronspread/standin"
)

// Size describes a system for which the cost is measured.
type Size struct {
	Hosts            int     // entry hosts in the zone
	BackendsPerHost  int     // backend servers in the zone per entry host
	Models           int     // declared model versions
	AdaptersPerModel int     // declared adapters per model
	RemoteBackends   int     // backend servers of other zones, each with one replica
	RemoteChanges    float64 // status changes of remote backend servers per second
	ConfigChanges    float64 // record writes per minute
	LoadDemands      float64 // first requests for idle models per minute
}

// Variable is the quantity that grows in a series of sizes. Its value is the name by which a run can select the series.
type Variable string

const (
	HostsInZone    Variable = "hosts in a zone"
	RemoteReplicas Variable = "replicas elsewhere"
	DeclaredModels Variable = "models with 9 adapters each"
	RecordChanges  Variable = "record changes a minute"
	LoadDemands    Variable = "wakes a minute"
)

// Point is a size of a series with the value of its variable.
type Point struct {
	Value float64
	Size  Size
}

// Series is a variable with the sizes at which it is measured.
type Series struct {
	Variable Variable
	Points   []Point
}

// baseSize is the size in which each series changes its variable.
var baseSize = Size{Hosts: 4, BackendsPerHost: 2, Models: 20}

// AllSeries returns the series that TestSlopes measures for the capacity page.
func AllSeries() []Series {
	return []Series{
		newSeries(HostsInZone, []float64{2, 10, 25, 50}, func(s *Size, v float64) { s.Hosts = int(v) }),
		newSeries(RemoteReplicas, []float64{0, 200, 400, 760}, func(s *Size, v float64) {
			s.RemoteBackends = int(v)
			s.RemoteChanges = 1
		}),
		newSeries(DeclaredModels, []float64{30, 60, 120, 240}, func(s *Size, v float64) {
			s.Models = int(v)
			s.AdaptersPerModel = 9
		}),
		newSeries(RecordChanges, []float64{0, 10, 30, 90}, func(s *Size, v float64) { s.ConfigChanges = v }),
		newSeries(LoadDemands, []float64{0, 20, 40, 80}, func(s *Size, v float64) { s.LoadDemands = v }),
	}
}

// newSeries returns the series that sets a variable to each of the values.
func newSeries(variable Variable, values []float64, set func(s *Size, value float64)) Series {
	series := Series{Variable: variable}
	for _, v := range values {
		size := baseSize
		set(&size, v)
		series.Points = append(series.Points, Point{Value: v, Size: size})
	}
	return series
}

const (
	zoneName     = "muenchen"
	remoteZone   = "rosenheim"
	serviceName  = "assist-llm"
	remotePort   = 26_000 // first port of the simulated backend servers; nothing listens on these ports
	modelBytes   = "4GB"
	engineMemory = 24_000_000_000 // bytes
)

// Layout returns the layout of the fleet of a size, without the backend servers of other zones.
func (s Size) Layout(port int) fleet.Layout {
	return fleet.Layout{
		Deployment:           settings.DeploymentTorwerk,
		Region:               "bavaria",
		Zones:                []string{zoneName},
		HostsPerZone:         s.Hosts,
		EnginesPerZone:       s.Hosts * s.BackendsPerHost,
		EngineService:        serviceName,
		MemoryBytes:          engineMemory,
		TokensPerSecond:      200,
		Rates:                standin.TierRates{Memory: 40e9, Disk: 20e9, Remote: 20e9},
		LoadsPerSecond:       20,
		ParallelLoads:        20,
		HostListLag:          100 * time.Millisecond,
		StoreWritesPerSecond: 400,
		StoreReadsPerSecond:  2000,
		BasePort:             port,
		StandingReservations: 1,
	}
}

// modelName returns the name of a declared model.
func modelName(i int) string { return fmt.Sprintf("model-%03d", i) }

// RecordName returns the name of the record that declares a model.
func RecordName(i int) string { return "record-" + modelName(i) }

// Record returns the record that declares a model. A change of the priority makes a write differ from the previous one.
func (s Size) Record(i, priority int) []byte {
	adapters := make([]string, 0, s.AdaptersPerModel)
	for a := range s.AdaptersPerModel {
		adapters = append(adapters, fmt.Sprintf("adapter-%03d-%d", i, a))
	}
	return fmt.Appendf(nil, `SchemaVersion: 2
Name: %s
Service: %s
Models:
  - Model: %s
    Version: v1
    Memory: %s
    Adapters: [%s]
    Replicas: {Decided: 2, Warm: 0}
    Priority: %d
`, RecordName(i), serviceName, modelName(i), modelBytes, strings.Join(adapters, ", "), priority)
}

// SettingsFile returns the settings of an entry host as YAML.
func SettingsFile(s settings.Settings) string {
	lines := []string{
		"Name: " + s.Name,
		"Zone: " + s.Zone,
		"Region: " + s.Region,
		"Deployment: " + s.Deployment,
		"CallerAddress: " + s.CallerAddress,
		"PeerAddress: " + s.PeerAddress,
		"OperatorAddress: " + s.OperatorAddress,
		"StoreAddress: " + s.StoreAddress,
		"HostListAddress: " + s.HostListAddress,
		"Seeds: [" + strings.Join(s.Seeds, ", ") + "]",
		"BalancerLag: 0s",
		"LogLevel: Info",
		fmt.Sprintf("WeightStore: {LoadsPerSecond: %g, ParallelLoads: %d}", s.WeightStore.LoadsPerSecond, s.WeightStore.ParallelLoads),
		"KeepAlive: {Shortest: 5s, Longest: 5s}",
	}
	return strings.Join(lines, "\n") + "\n"
}
