package slopes

import (
	"slices"
	"time"

	"citronspread/standin"
)

// Cost is what control costs at one size, on the mean entry host unless said otherwise.
type Cost struct {
	Value        float64 // of the variable
	CorePercent  float64 // processor time, of one core
	MemoryMB     float64 // resident, of the host with the most
	PeerKBs      float64 // bytes a second to and from peers, in kilobytes
	PeerCalls    float64 // calls a second to peers
	StoreReads   float64 // a second, all hosts together
	StoreWrites  float64 // a second, all hosts together
	StoreWatches float64 // waiting, all hosts together
	InForce      time.Duration
}

// Usage is what the platform's store counted between two samples.
type Usage struct {
	Began  standin.StoreCounts
	Ended  standin.StoreCounts
	Length time.Duration
}

// costOf returns the cost between two samples of each host.
func costOf(value float64, began, ended []Sample, store Usage) Cost {
	cost := Cost{Value: value}
	for i := range began {
		seconds := ended[i].At.Sub(began[i].At).Seconds()
		cost.CorePercent += 100 * (ended[i].Processor - began[i].Processor).Seconds() / seconds
		cost.PeerKBs += float64(ended[i].PeerBytes-began[i].PeerBytes) / 1000 / seconds
		cost.PeerCalls += float64(ended[i].PeerCalls-began[i].PeerCalls) / seconds
	}
	hosts := float64(len(began))
	cost.CorePercent /= hosts
	cost.PeerKBs /= hosts
	cost.PeerCalls /= hosts
	cost.MemoryMB = float64(slices.MaxFunc(ended, func(a, b Sample) int { return int(a.Resident - b.Resident) }).Resident) / 1e6
	seconds := store.Length.Seconds()
	cost.StoreReads = float64(store.Ended.Reads-store.Began.Reads) / seconds
	cost.StoreWrites = float64(store.Ended.Writes-store.Began.Writes) / seconds
	cost.StoreWatches = float64(store.Ended.Watches-store.Began.Watches) / seconds
	return cost
}
