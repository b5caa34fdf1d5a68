package slopes

import (
	"slices"
	"time"

	"citronspread/standin"
)

// Cost is the resource use of the control plane at one size of the system. Values are means over the entry hosts unless
// stated otherwise.
type Cost struct {
	Value          float64       // of the variable
	CorePercent    float64       // processor time in percent of one core
	MemoryMB       float64       // resident memory at the end of the measurement, maximum over the hosts
	PeerKBs        float64       // kilobytes per second sent to and received from peers
	PeerCalls      float64       // calls to peers per second
	StoreReads     float64       // per second, total of all hosts
	StoreWrites    float64       // per second, total of all hosts
	StoreWatches   float64       // per second, total of all hosts
	ActivationTime time.Duration // maximum time from the write of a record until it is active on a host
}

// StoreUsage holds the counters of the store at the start and the end of a measurement.
type StoreUsage struct {
	Start    standin.StoreCounts
	End      standin.StoreCounts
	Duration time.Duration
}

// costOf returns the cost between the first and the last sample of each host.
func costOf(value float64, first, last []Sample, store StoreUsage) Cost {
	cost := Cost{Value: value}
	for i := range first {
		seconds := last[i].At.Sub(first[i].At).Seconds()
		cost.CorePercent += 100 * (last[i].ProcessorTime - first[i].ProcessorTime).Seconds() / seconds
		cost.PeerKBs += float64(last[i].PeerBytes-first[i].PeerBytes) / 1000 / seconds
		cost.PeerCalls += float64(last[i].PeerCalls-first[i].PeerCalls) / seconds
	}
	hosts := float64(len(first))
	cost.CorePercent /= hosts
	cost.PeerKBs /= hosts
	cost.PeerCalls /= hosts
	cost.MemoryMB = float64(slices.MaxFunc(last, func(a, b Sample) int { return int(a.ResidentBytes - b.ResidentBytes) }).ResidentBytes) / 1e6
	seconds := store.Duration.Seconds()
	cost.StoreReads = float64(store.End.Reads-store.Start.Reads) / seconds
	cost.StoreWrites = float64(store.End.Writes-store.Start.Writes) / seconds
	cost.StoreWatches = float64(store.End.Watches-store.Start.Watches) / seconds
	return cost
}
