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
	anyTime  = yamlfile.DurationRange{High: 24 * time.Hour}
	someTime = yamlfile.DurationRange{Low: time.Millisecond, High: 24 * time.Hour}
	share    = yamlfile.FloatRange{High: 1}
	number   = yamlfile.IntRange{High: 1_000_000}
	positive = yamlfile.IntRange{Low: 1, High: 1_000_000}
	size     = yamlfile.IntRange{Low: 1, High: math.MaxInt64}
	rate     = yamlfile.FloatRange{Low: 0.001, High: 1e12}
)

// LoadPlan reads a plan from a file. The error holds yamlfile.Problems when the file was read.
func LoadPlan(path string) (Plan, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, errors.Wrap(err, "measure")
	}
	return ParsePlan(path, body)
}

// ParsePlan reads a plan from body; path names it in errors.
func ParsePlan(path string, body []byte) (Plan, error) {
	r, m := yamlfile.Parse(path, body)
	p := Plan{
		Name:     m.Name("Name"),
		Text:     string(body),
		Seed:     uint64(m.Int("Seed", number)),
		Scale:    m.Text("Scale"),
		Repeats:  int(m.Int("Repeats", positive)),
		WarmUp:   m.Duration("WarmUp", anyTime),
		Duration: m.Duration("Duration", someTime),
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
	m.Close()
	checkShares(m, p.Classes)
	return p, r.Err()
}

func readLayout(m *yamlfile.Mapping) fleet.Layout {
	l := fleet.Layout{
		Deployment:      m.OneOf("Deployment", settings.DeploymentQureshi, settings.DeploymentTorwerk),
		Region:          m.Name("Region"),
		Zones:           m.Names("Zones"),
		HostsPerZone:    int(m.Int("HostsPerZone", positive)),
		EnginesPerZone:  int(m.Int("EnginesPerZone", positive)),
		EngineService:   m.Name("EngineService"),
		PlainService:    m.Name("PlainService"),
		MemoryBytes:     m.Bytes("Memory", size),
		TokensPerSecond: m.Float("TokensPerSecond", rate),
		BatchCapacity:   int(m.Int("BatchCapacity", positive)),
		LoadsPerSecond:  m.Float("LoadsPerSecond", rate),
		ParallelLoads:   int(m.Int("ParallelLoads", positive)),
		HostListLag:     m.Duration("HostListLag", anyTime),
		BalancerLag:     m.Duration("BalancerLag", anyTime),
		StoreWrites:     m.Float("StoreWrites", rate),
		StoreReads:      m.Float("StoreReads", rate),
		BasePort:        int(m.Int("BasePort", yamlfile.IntRange{Low: 1024, High: 64_000})),

		StandingReservations: int(m.Int("StandingReservations", yamlfile.IntRange{High: 16})),
	}
	rates := m.Mapping("BytesPerSecond")
	l.Rates = standin.TierRates{
		Memory: float64(rates.Bytes("Memory", size)),
		Disk:   float64(rates.Bytes("Disk", size)),
		Remote: float64(rates.Bytes("Remote", size)),
	}
	rates.Close()
	m.Close()
	return l
}

func readModels(m *yamlfile.Mapping) Models {
	models := Models{
		Count:        int(m.Int("Count", positive)),
		Bytes:        m.Bytes("Memory", size),
		Replicas:     int(m.Int("Replicas", positive)),
		Warm:         int(m.Int("Warm", number)),
		Adapters:     int(m.Int("Adapters", number)),
		AdapterShare: m.Float("AdapterShare", share),
		ZipfExponent: m.Float("ZipfExponent", yamlfile.FloatRange{High: 10}),
	}
	m.Close()
	return models
}

func readLoad(m *yamlfile.Mapping) Load {
	l := Load{RequestsPerSecond: m.Float("RequestsPerSecond", yamlfile.FloatRange{Low: 0.001, High: maxRequestsPerSecond}), SwingFactor: 1}
	if m.Has("Burst") {
		burst := m.Mapping("Burst")
		l.BurstEvery = burst.Duration("Every", someTime)
		l.BurstSize = int(burst.Int("Size", positive))
		burst.Close()
	}
	if m.Has("Swing") {
		swing := m.Mapping("Swing")
		l.SwingAt = swing.Duration("At", anyTime)
		l.SwingLength = swing.Duration("Length", someTime)
		l.SwingFactor = swing.Float("Factor", yamlfile.FloatRange{Low: 1, High: 1_000})
		swing.Close()
	}
	m.Close()
	return l
}

func readClass(m *yamlfile.Mapping) Class {
	c := Class{
		Name:     m.Name("Name"),
		Share:    m.Float("Share", share),
		Timeout:  m.Duration("Timeout", someTime),
		Priority: int(m.IntOr("Priority", 50, yamlfile.IntRange{High: 100})),
	}
	if m.Has("Service") {
		c.Service = m.Name("Service")
		m.Close()
		return c
	}
	c.Stream = m.OneOf("Answer", "Stream", "Whole") == "Stream"
	tokens := m.Mapping("Tokens")
	c.MedianTokens = tokens.Float("Median", yamlfile.FloatRange{Low: 1, High: 30_000})
	c.TokenSpread = tokens.Float("Spread", yamlfile.FloatRange{High: 5})
	c.MostTokens = int(tokens.Int("Most", yamlfile.IntRange{Low: 1, High: 30_000}))
	tokens.Close()
	m.Close()
	return c
}

func readFault(m *yamlfile.Mapping) Fault {
	f := Fault{
		At:     m.Duration("At", anyTime),
		Target: m.OneOf("Target", targetStore, targetHosts, targetEngine, targetService),
		Index:  int(m.IntOr("Index", 0, number)),
		Every:  int(m.IntOr("Every", 0, number)),
		Body:   m.Text("Body"),
	}
	if f.Body != "" && !json.Valid([]byte(f.Body)) {
		m.Fail("Body", "JSON, as the stand-in's /fault takes it")
	}
	if m.Has("Repeat") {
		repeat := m.Mapping("Repeat")
		f.RepeatEvery = repeat.Duration("Every", someTime)
		f.Times = int(repeat.Int("Times", positive))
		repeat.Close()
	}
	m.Close()
	return f
}

// checkShares refuses classes whose shares don't add up to one.
func checkShares(m *yamlfile.Mapping, classes []Class) {
	const tolerance = 0.001
	sum := 0.0
	for _, c := range classes {
		sum += c.Share
	}
	if m.Has("Classes") && math.Abs(sum-1) > tolerance {
		m.Fail("Classes", "shares that add up to 1")
	}
}
