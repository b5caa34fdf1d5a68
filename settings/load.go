package settings

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"citronspread/model"
	"citronspread/workspace"
	"citronspread/yamlfile"
)

// Limits of the weights in KeepAlive.
const (
	minWeight = 0.001
	maxWeight = 1_000
)

// shortTimeoutRange is the range of the deadlines of single steps, such as a store call.
var shortTimeoutRange = yamlfile.DurationRange{Low: time.Millisecond, High: time.Minute}

// Load reads the settings from the file at path. Invalid settings give an error of type yamlfile.Problems.
func Load(path string) (Settings, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return Parse(path, body)
}

// Parse parses the settings in body. The path is only used in errors.
func Parse(path string, body []byte) (Settings, error) {
	r, m := yamlfile.Parse(path, body)
	s := Defaults(m.OneOf("Deployment", DeploymentQureshi, DeploymentTorwerk, DeploymentCustom))
	s.Name = m.Name("Name")
	s.Zone = m.Name("Zone")
	s.Region = m.Name("Region")
	s.CallerAddress = m.Address("CallerAddress")
	s.PeerAddress = m.Address("PeerAddress")
	s.OperatorAddress = m.Address("OperatorAddress")
	s.StoreAddress = m.Address("StoreAddress")
	s.HostListAddress = m.Address("HostListAddress")
	s.Seeds = m.Addresses("Seeds")
	s.LogLevel = m.OneOfOr("LogLevel", s.LogLevel, "Debug", "Info", "Warn", "Error")
	s.BalancerLag = m.Duration("BalancerLag", yamlfile.DurationRange{High: 5 * time.Minute})
	s.StandingReservations = int(m.IntOr("StandingReservations", int64(s.StandingReservations), yamlfile.IntRange{High: 16}))
	s.Deadlines = readDeadlines(m.MappingOr("Deadlines"), s.Deadlines)
	s.Limits = readLimits(m.MappingOr("Limits"), s.Limits)
	s.WeightStore = readWeightStore(m.Mapping("WeightStore"), s.WeightStore)
	s.KeepAlive = readKeepAlive(m, s.Deployment, s.KeepAlive)
	s.Workspaces = readWorkspaces(r, m)
	m.ReportUnknownKeys()
	checkAddresses(m, s)
	return s, r.Err()
}

func readDeadlines(m *yamlfile.Mapping, d Deadlines) Deadlines {
	longTimeoutRange := yamlfile.DurationRange{Low: 10 * time.Millisecond, High: 24 * time.Hour}
	d = Deadlines{
		Request:        m.DurationOr("Request", d.Request, longTimeoutRange),
		LongestRequest: m.DurationOr("LongestRequest", d.LongestRequest, longTimeoutRange),
		Header:         m.DurationOr("Header", d.Header, shortTimeoutRange),
		Body:           m.DurationOr("Body", d.Body, shortTimeoutRange),
		StoreCall:      m.DurationOr("StoreCall", d.StoreCall, shortTimeoutRange),
		Connect:        m.DurationOr("Connect", d.Connect, shortTimeoutRange),
		Order:          m.DurationOr("Order", d.Order, longTimeoutRange),
		Shutdown:       m.DurationOr("Shutdown", d.Shutdown, longTimeoutRange),
	}
	m.ReportUnknownKeys()
	if d.Request > d.LongestRequest {
		m.AddProblem("Request", "at most LongestRequest")
	}
	if d.Connect > d.Request {
		m.AddProblem("Connect", "at most Request")
	}
	return d
}

func readLimits(m *yamlfile.Mapping, l Limits) Limits {
	l = Limits{
		BodyBytes:   m.BytesOr("BodyBytes", l.BodyBytes, yamlfile.IntRange{Low: 1_000, High: 1 << 30}),
		HeaderBytes: m.BytesOr("HeaderBytes", l.HeaderBytes, yamlfile.IntRange{Low: 1_000, High: 1 << 20}),
		QueueLength: int(m.IntOr("QueueLength", int64(l.QueueLength), yamlfile.IntRange{Low: 1, High: 1_000_000})),
		Connections: int(m.IntOr("Connections", int64(l.Connections), yamlfile.IntRange{Low: 1, High: 1_000_000})),
	}
	m.ReportUnknownKeys()
	if l.QueueLength > l.Connections {
		m.AddProblem("QueueLength", "at most Connections, because each waiting request occupies a connection")
	}
	return l
}

func readWeightStore(m *yamlfile.Mapping, w WeightStore) WeightStore {
	w = WeightStore{
		LoadsPerSecond:   m.Float("LoadsPerSecond", yamlfile.FloatRange{Low: 0.001, High: 10_000}),
		ParallelLoads:    int(m.Int("ParallelLoads", yamlfile.IntRange{Low: 1, High: 10_000})),
		ParallelAdapters: int(m.IntOr("ParallelAdapters", int64(w.ParallelAdapters), yamlfile.IntRange{Low: 1, High: 10_000})),
	}
	m.ReportUnknownKeys()
	return w
}

// maxFreeLoads bounds KeepAlive.FreeLoads.
const maxFreeLoads = 16

// readKeepAlive reads the keep-alive settings. The weights are read only for the deployment Custom; any other
// deployment sets them by its name.
func readKeepAlive(top *yamlfile.Mapping, deployment string, k KeepAlive) KeepAlive {
	timeRange := yamlfile.DurationRange{High: 24 * time.Hour}
	weightRange := yamlfile.FloatRange{Low: minWeight, High: maxWeight}
	if deployment == DeploymentCustom && !top.Has("KeepAlive") {
		top.AddProblem("Deployment", "KeepAlive with ColdStartWeight and IdleWeight, which Custom requires")
		return k
	}
	m := top.MappingOr("KeepAlive")
	if deployment == DeploymentCustom {
		k.ColdStartWeight = m.Float("ColdStartWeight", weightRange)
		k.IdleWeight = m.Float("IdleWeight", weightRange)
	} else {
		refuseWeight(m, "ColdStartWeight", deployment)
		refuseWeight(m, "IdleWeight", deployment)
	}
	k.Shortest = m.DurationOr("Shortest", k.Shortest, timeRange)
	k.Longest = m.DurationOr("Longest", k.Longest, timeRange)
	k.FreeLoads = int(m.IntOr("FreeLoads", int64(k.FreeLoads), yamlfile.IntRange{High: maxFreeLoads}))
	m.ReportUnknownKeys()
	if k.Shortest > k.Longest {
		m.AddProblem("Shortest", "at most Longest")
	}
	return k
}

// refuseWeight adds a problem if key sets a weight that the deployment's name already determines.
func refuseWeight(m *yamlfile.Mapping, key, deployment string) {
	if !m.Has(key) {
		return
	}
	m.Float(key, yamlfile.FloatRange{Low: minWeight, High: maxWeight})
	m.AddProblem(key, "no weight, because Deployment "+deployment+" sets it; weights are allowed only with Custom")
}

// readWorkspaces reads the optional list of workspaces. The problems that it adds contain no key.
func readWorkspaces(r *yamlfile.Reader, top *yamlfile.Mapping) []model.Workspace {
	mappings := top.MappingsOr("Workspaces")
	if top.Has("Workspaces") && len(mappings) == 0 {
		top.AddProblem("Workspaces", "at least one workspace; without the key Workspaces, callers need no keys")
	}
	workspaces := make([]model.Workspace, len(mappings))
	for i, m := range mappings {
		w := &workspaces[i]
		w.Name = m.Text("Name")
		if m.Has("Keys") {
			w.Keys = m.Texts("Keys")
		}
		if m.Has("Priority") {
			priority := int(m.Int("Priority", yamlfile.IntRange{High: workspace.MaxPriority}))
			w.Priority = &priority
		}
		m.ReportUnknownKeys()
	}
	var invalid *workspace.InvalidError
	if !r.HasProblems() && errors.As(workspace.Check(workspaces), &invalid) {
		mappings[invalid.Position].AddProblem(string(invalid.Field), "another value: "+invalid.Reason)
	}
	return workspaces
}

// checkAddresses adds a problem for each address that two settings share. The entry host could not listen on one
// address twice, or would listen where it expects the platform.
func checkAddresses(m *yamlfile.Mapping, s Settings) {
	addresses := []struct{ key, address string }{
		{"CallerAddress", s.CallerAddress},
		{"PeerAddress", s.PeerAddress},
		{"OperatorAddress", s.OperatorAddress},
		{"StoreAddress", s.StoreAddress},
		{"HostListAddress", s.HostListAddress},
	}
	for i, a := range addresses {
		for _, b := range addresses[:i] {
			if a.address != "" && a.address == b.address {
				m.AddProblem(a.key, "an address that no other setting has, it equals "+b.key)
			}
		}
	}
}
