package measure

import (
	"encoding/json"
	"math"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"citronspread/fleet"
	"citronspread/settings"
	"citronspread/standin"
	"citronspread/yamlfile"
)

const maxRequestsPerSecond = 100_000

var (
	anyDuration      = yamlfile.DurationRange{High: 24 * time.Hour}
	positiveDuration = yamlfile.DurationRange{Low: time.Millisecond, High: 24 * time.Hour}
	shareRange       = yamlfile.FloatRange{High: 1}
	countRange       = yamlfile.IntRange{High: 1_000_000}
	positiveCount    = yamlfile.IntRange{Low: 1, High: 1_000_000}
	sizeRange        = yamlfile.IntRange{Low: 1, High: math.MaxInt64}
	rateRange        = yamlfile.FloatRange{Low: 0.001, High: 1e12}
)

// LoadPlan reads a plan from a file. If the plan is invalid, the error contains yamlfile.Problems.
func LoadPlan(path string) (Plan, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, errors.Wrap(err, "measure: read plan")
	}
	return ParsePlan(path, body)
}

// ParsePlan parses a plan. Errors name it by path.
func ParsePlan(path string, body []byte) (Plan, error) {
	r, m := yamlfile.Parse(path, body)
	p := Plan{
		Name:     m.Name("Name"),
		Source:   string(body),
		Seed:     uint64(m.Int("Seed", countRange)),
		Scale:    m.Text("Scale"),
		Repeats:  int(m.Int("Repeats", positiveCount)),
		WarmUp:   m.Duration("WarmUp", anyDuration),
		Duration: m.Duration("Duration", positiveDuration),
	}
	p.Layout = readLayout(m.Mapping("Fleet"))
	p.Layout.Seed = p.Seed
	p.Models = readModels(m.Mapping("Models"))
	p.Load = readLoad(m.Mapping("Load"))
	for _, c := range m.Mappings("Classes") {
		p.Classes = append(p.Classes, readClass(c))
	}
	for _, f := range m.MappingsOr("Faults") {
		p.Faults = append(p.Faults, readFault(f))
	}
	for _, v := range m.MappingsOr("Variants") {
		p.Variants = append(p.Variants, readVariant(v, p.Layout))
	}
	if len(p.Variants) == 0 {
		p.Variants = []Variant{defaultVariant(p.Layout)}
	}
	m.ReportUnknownKeys()
	checkShares(m, p.Classes)
	return p, r.Err()
}

func readLayout(m *yamlfile.Mapping) fleet.Layout {
	l := fleet.Layout{
		Deployment:           m.OneOf("Deployment", settings.DeploymentQureshi, settings.DeploymentTorwerk),
		Region:               m.Name("Region"),
		Zones:                m.Names("Zones"),
		HostsPerZone:         int(m.Int("HostsPerZone", positiveCount)),
		EnginesPerZone:       int(m.Int("EnginesPerZone", positiveCount)),
		EngineService:        m.Name("EngineService"),
		PlainService:         m.Name("PlainService"),
		MemoryBytes:          m.Bytes("Memory", sizeRange),
		TokensPerSecond:      m.Float("TokensPerSecond", rateRange),
		BatchCapacity:        int(m.Int("BatchCapacity", positiveCount)),
		LoadsPerSecond:       m.Float("LoadsPerSecond", rateRange),
		ParallelLoads:        int(m.Int("ParallelLoads", positiveCount)),
		HostListLag:          m.Duration("HostListLag", anyDuration),
		BalancerLag:          m.Duration("BalancerLag", anyDuration),
		StoreWritesPerSecond: m.Float("StoreWrites", rateRange),
		StoreReadsPerSecond:  m.Float("StoreReads", rateRange),
		BasePort:             int(m.Int("BasePort", yamlfile.IntRange{Low: 1024, High: 64_000})),

		StandingReservations: int(m.Int("StandingReservations", yamlfile.IntRange{High: 16})),
	}
	rates := m.Mapping("BytesPerSecond")
	l.Rates = standin.TierRates{
		Memory: float64(rates.Bytes("Memory", sizeRange)),
		Disk:   float64(rates.Bytes("Disk", sizeRange)),
		Remote: float64(rates.Bytes("Remote", sizeRange)),
	}
	rates.ReportUnknownKeys()
	m.ReportUnknownKeys()
	return l
}

func readModels(m *yamlfile.Mapping) Models {
	models := Models{
		Count:        int(m.Int("Count", positiveCount)),
		Bytes:        m.Bytes("Memory", sizeRange),
		Replicas:     int(m.Int("Replicas", positiveCount)),
		Warm:         int(m.Int("Warm", countRange)),
		Adapters:     int(m.Int("Adapters", countRange)),
		AdapterShare: m.Float("AdapterShare", shareRange),
		ZipfExponent: m.Float("ZipfExponent", yamlfile.FloatRange{High: 10}),
	}
	m.ReportUnknownKeys()
	return models
}

func readLoad(m *yamlfile.Mapping) Load {
	l := Load{RequestsPerSecond: m.Float("RequestsPerSecond", yamlfile.FloatRange{Low: 0.001, High: maxRequestsPerSecond}), SwingFactor: 1}
	if m.Has("Burst") {
		burst := m.Mapping("Burst")
		l.BurstInterval = burst.Duration("Every", positiveDuration)
		l.BurstSize = int(burst.Int("Size", positiveCount))
		burst.ReportUnknownKeys()
	}
	if m.Has("Swing") {
		swing := m.Mapping("Swing")
		l.SwingAt = swing.Duration("At", anyDuration)
		l.SwingDuration = swing.Duration("Length", positiveDuration)
		l.SwingFactor = swing.Float("Factor", yamlfile.FloatRange{Low: 1, High: 1_000})
		swing.ReportUnknownKeys()
	}
	m.ReportUnknownKeys()
	return l
}

func readClass(m *yamlfile.Mapping) Class {
	c := Class{
		Name:     m.Name("Name"),
		Share:    m.Float("Share", shareRange),
		Timeout:  m.Duration("Timeout", positiveDuration),
		Priority: int(m.IntOr("Priority", 50, yamlfile.IntRange{High: 100})),
	}
	if m.Has("Service") {
		c.Service = m.Name("Service")
		m.ReportUnknownKeys()
		return c
	}
	c.Stream = m.OneOf("Answer", "Stream", "Whole") == "Stream"
	tokens := m.Mapping("Tokens")
	c.MedianTokens = tokens.Float("Median", yamlfile.FloatRange{Low: 1, High: 30_000})
	c.TokenSigma = tokens.Float("Spread", yamlfile.FloatRange{High: 5})
	c.MaxTokens = int(tokens.Int("Most", yamlfile.IntRange{Low: 1, High: 30_000}))
	tokens.ReportUnknownKeys()
	m.ReportUnknownKeys()
	return c
}

func readFault(m *yamlfile.Mapping) Fault {
	f := Fault{
		At:     m.Duration("At", anyDuration),
		Target: m.OneOf("Target", targetStore, targetHosts, targetEngine, targetService),
		Index:  int(m.IntOr("Index", 0, countRange)),
		Step:   int(m.IntOr("Every", 0, countRange)),
		Body:   m.Text("Body"),
	}
	if f.Body != "" && !json.Valid([]byte(f.Body)) {
		m.AddProblem("Body", "JSON in the format of the stand-in's /fault endpoint")
	}
	if m.Has("Repeat") {
		repeat := m.Mapping("Repeat")
		f.RepeatInterval = repeat.Duration("Every", positiveDuration)
		f.Times = int(repeat.Int("Times", positiveCount))
		repeat.ReportUnknownKeys()
	}
	m.ReportUnknownKeys()
	return f
}

// checkShares reports a problem if the shares of the classes don't add up to one.
func checkShares(m *yamlfile.Mapping, classes []Class) {
	const tolerance = 0.001
	sum := 0.0
	for _, c := range classes {
		sum += c.Share
	}
	if m.Has("Classes") && math.Abs(sum-1) > tolerance {
		m.AddProblem("Classes", "shares that add up to 1")
	}
}
