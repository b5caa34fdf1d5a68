package entryhost

import (
	"expvar"
	"sync/atomic"
	"time"
)

// metrics counts what the control thread did.
type metrics struct {
	startedAt time.Time

	controlAlive     atomic.Int64 // unix nanoseconds of the control thread's last tick
	ledgerSteps      atomic.Int64
	orders           atomic.Int64
	violations       atomic.Int64
	wakes            atomic.Int64
	wakesForwarded   atomic.Int64
	loadsAsked       atomic.Int64
	loadsRefused     atomic.Int64
	evictions        atomic.Int64
	idleUnloads      atomic.Int64
	unloadsAhead     atomic.Int64
	suspects         atomic.Int64
	invalidRecords   atomic.Int64
	repairedRecords  atomic.Int64
	hostListFailures atomic.Int64
	droppedWakes     atomic.Int64
}

// counter is a metric as the operators' side shows it.
type counter struct {
	Name  string
	Value *atomic.Int64
}

func (m *metrics) counters() []counter {
	return []counter{
		{"LedgerSteps", &m.ledgerSteps},
		{"Orders", &m.orders},
		{"Violations", &m.violations},
		{"Wakes", &m.wakes},
		{"WakesForwarded", &m.wakesForwarded},
		{"LoadsAsked", &m.loadsAsked},
		{"LoadsRefused", &m.loadsRefused},
		{"Evictions", &m.evictions},
		{"IdleUnloads", &m.idleUnloads},
		{"UnloadsAhead", &m.unloadsAhead},
		{"Suspects", &m.suspects},
		{"InvalidRecords", &m.invalidRecords},
		{"RepairedRecords", &m.repairedRecords},
		{"HostListFailures", &m.hostListFailures},
		{"DroppedWakes", &m.droppedWakes},
	}
}

// vars returns the counters as one expvar map.
func (m *metrics) vars() *expvar.Map {
	vars := new(expvar.Map).Init()
	for _, c := range m.counters() {
		vars.Set(c.Name, expvar.Func(func() any { return c.Value.Load() }))
	}
	return vars
}
