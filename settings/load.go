package settings

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"citronspread/yamlfile"
)

const (
	defaultBodyBytes   = 4_000_000
	defaultHeaderBytes = 64_000
	defaultQueueLength = 1_000
	defaultConnections = 10_000

	defaultShortestKeepAlive = 10 * time.Second
	defaultLongestKeepAlive  = 30 * time.Minute

	defaultParallelAdapters     = 32
	defaultStandingReservations = 1

	weightMinimum = 0.001
	weightMaximum = 1_000
)

var shortSpan = yamlfile.DurationRange{Low: time.Millisecond, High: time.Minute}

// Load reads the settings from a file. The error holds yamlfile.Problems when the file was read.
func Load(path string) (Settings, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return Parse(path, body)
}

// Parse reads the settings from body; path names it in errors.
func Parse(path string, body []byte) (Settings, error) {
	r, m := yamlfile.Parse(path, body)
	s := Settings{
		Name:                 m.Name("Name"),
		Zone:                 m.Name("Zone"),
		Region:               m.Name("Region"),
		Deployment:           m.OneOf("Deployment", DeploymentQureshi, DeploymentTorwerk, DeploymentCustom),
		CallerAddress:        m.Address("CallerAddress"),
		PeerAddress:          m.Address("PeerAddress"),
		OperatorAddress:      m.Address("OperatorAddress"),
		StoreAddress:         m.Address("StoreAddress"),
		HostListAddress:      m.Address("HostListAddress"),
		Seeds:                m.Addresses("Seeds"),
		LogLevel:             m.OneOfOr("LogLevel", "Info", "Debug", "Info", "Warn", "Error"),
		BalancerLag:          m.Duration("BalancerLag", yamlfile.DurationRange{High: 5 * time.Minute}),
		StandingReservations: int(m.IntOr("StandingReservations", defaultStandingReservations, yamlfile.IntRange{High: 16})),
	}
	s.Deadlines = readDeadlines(m.MappingOr("Deadlines"))
	s.Limits = readLimits(m.MappingOr("Limits"))
	s.WeightStore = readWeightStore(m.Mapping("WeightStore"))
	s.KeepAlive = readKeepAlive(m, s.Deployment)
	m.Close()
	checkAddresses(m, s)
	return s, r.Err()
}

func readDeadlines(m *yamlfile.Mapping) Deadlines {
	long := yamlfile.DurationRange{Low: 10 * time.Millisecond, High: 24 * time.Hour}
	d := Deadlines{
		Request:        m.DurationOr("Request", 30*time.Second, long),
		LongestRequest: m.DurationOr("LongestRequest", time.Hour, long),
		Header:         m.DurationOr("Header", 5*time.Second, shortSpan),
		Body:           m.DurationOr("Body", 30*time.Second, shortSpan),
		StoreCall:      m.DurationOr("StoreCall", time.Second, shortSpan),
		Connect:        m.DurationOr("Connect", 500*time.Millisecond, shortSpan),
		Order:          m.DurationOr("Order", 2*time.Minute, long),
		Shutdown:       m.DurationOr("Shutdown", time.Hour, long),
	}
	m.Close()
	if d.Request > d.LongestRequest {
		m.Fail("Request", "at most LongestRequest")
	}
	if d.Connect > d.Request {
		m.Fail("Connect", "at most Request")
	}
	return d
}

func readLimits(m *yamlfile.Mapping) Limits {
	l := Limits{
		BodyBytes:   m.BytesOr("BodyBytes", defaultBodyBytes, yamlfile.IntRange{Low: 1_000, High: 1 << 30}),
		HeaderBytes: m.BytesOr("HeaderBytes", defaultHeaderBytes, yamlfile.IntRange{Low: 1_000, High: 1 << 20}),
		QueueLength: int(m.IntOr("QueueLength", defaultQueueLength, yamlfile.IntRange{Low: 1, High: 1_000_000})),
		Connections: int(m.IntOr("Connections", defaultConnections, yamlfile.IntRange{Low: 1, High: 1_000_000})),
	}
	m.Close()
	if l.QueueLength > l.Connections {
		m.Fail("QueueLength", "at most Connections, because each waiting request holds one")
	}
	return l
}

func readWeightStore(m *yamlfile.Mapping) WeightStore {
	w := WeightStore{
		LoadsPerSecond:   m.Float("LoadsPerSecond", yamlfile.FloatRange{Low: 0.001, High: 10_000}),
		ParallelLoads:    int(m.Int("ParallelLoads", yamlfile.IntRange{Low: 1, High: 10_000})),
		ParallelAdapters: int(m.IntOr("ParallelAdapters", defaultParallelAdapters, yamlfile.IntRange{Low: 1, High: 10_000})),
	}
	m.Close()
	return w
}

// readKeepAlive reads the weights, which the deployment's name gives unless it is Custom.
func readKeepAlive(top *yamlfile.Mapping, deployment string) KeepAlive {
	span := yamlfile.DurationRange{High: 24 * time.Hour}
	weight := yamlfile.FloatRange{Low: weightMinimum, High: weightMaximum}
	k := deploymentWeights(deployment)
	if deployment == DeploymentCustom && !top.Has("KeepAlive") {
		top.Fail("Deployment", "KeepAlive with ColdStartWeight and IdleWeight beside Custom")
		return k
	}
	m := top.MappingOr("KeepAlive")
	if deployment == DeploymentCustom {
		k.ColdStartWeight = m.Float("ColdStartWeight", weight)
		k.IdleWeight = m.Float("IdleWeight", weight)
	} else {
		refuseWeight(m, "ColdStartWeight", deployment)
		refuseWeight(m, "IdleWeight", deployment)
	}
	k.Shortest = m.DurationOr("Shortest", defaultShortestKeepAlive, span)
	k.Longest = m.DurationOr("Longest", defaultLongestKeepAlive, span)
	m.Close()
	if k.Shortest > k.Longest {
		m.Fail("Shortest", "at most Longest")
	}
	return k
}

// refuseWeight refuses a weight beside a deployment that brings its own.
func refuseWeight(m *yamlfile.Mapping, key, deployment string) {
	if !m.Has(key) {
		return
	}
	m.Float(key, yamlfile.FloatRange{Low: weightMinimum, High: weightMaximum})
	m.Fail(key, "no weight here, because Deployment "+deployment+" brings its own; weights go with Custom")
}

func deploymentWeights(deployment string) KeepAlive {
	switch deployment {
	case DeploymentQureshi:
		return KeepAlive{ColdStartWeight: 1, IdleWeight: 3}
	case DeploymentTorwerk:
		return KeepAlive{ColdStartWeight: 3, IdleWeight: 1}
	}
	return KeepAlive{ColdStartWeight: 1, IdleWeight: 1}
}

// checkAddresses refuses one address for two listeners or for a listener and the platform.
func checkAddresses(m *yamlfile.Mapping, s Settings) {
	named := []struct{ key, address string }{
		{"CallerAddress", s.CallerAddress},
		{"PeerAddress", s.PeerAddress},
		{"OperatorAddress", s.OperatorAddress},
		{"StoreAddress", s.StoreAddress},
		{"HostListAddress", s.HostListAddress},
	}
	for i, a := range named {
		for _, b := range named[:i] {
			if a.address != "" && a.address == b.address {
				m.Fail(a.key, "an address of its own, it equals "+b.key)
			}
		}
	}
}
