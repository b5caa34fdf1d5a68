package entryhost

import (
	"expvar"
	"sync/atomic"
	"time"
)

// metrics holds the counters of the control thread and the executor.
type metrics struct {
	startedAt time.Time

	lastTick             atomic.Int64 // of the control thread, in Unix nanoseconds
	ledgerSteps          atomic.Int64
	orders               atomic.Int64
	violations           atomic.Int64
	loadDemands          atomic.Int64
	loadDemandsForwarded atomic.Int64
	loadsRequested       atomic.Int64
	loadsRefused         atomic.Int64
	evictions            atomic.Int64
	idleUnloads          atomic.Int64
	unloadsAhead         atomic.Int64
	suspects             atomic.Int64
	invalidRecords       atomic.Int64
	repairedRecords      atomic.Int64
	hostListFailures     atomic.Int64
	droppedLoadDemands   atomic.Int64
}

// counter is a metric under its published name.
type counter struct {
	Name  string
	Value *atomic.Int64
}

func (m *metrics) counters() []counter {
	return []counter{
		{"LedgerSteps", &m.ledgerSteps},
		{"Orders", &m.orders},
		{"Violations", &m.violations},
		{"Wakes", &m.loadDemands},
		{"WakesForwarded", &m.loadDemandsForwarded},
		{"LoadsAsked", &m.loadsRequested},
		{"LoadsRefused", &m.loadsRefused},
		{"Evictions", &m.evictions},
		{"IdleUnloads", &m.idleUnloads},
		{"UnloadsAhead", &m.unloadsAhead},
		{"Suspects", &m.suspects},
		{"InvalidRecords", &m.invalidRecords},
		{"RepairedRecords", &m.repairedRecords},
		{"HostListFailures", &m.hostListFailures},
		{"DroppedWakes", &m.droppedLoadDemands},
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
