package faults

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// faultKind is a kind of fault. Its value is the name by which the kind can be left out of a run.
type faultKind string

const (
	faultKillHost        faultKind = "kill entry host"
	faultFreezeHost      faultKind = "freeze entry host"
	faultTerminateHost   faultKind = "planned stop of entry host"
	faultKillOwner       faultKind = "kill owner in the middle of a load"
	faultFreezeOwner     faultKind = "freeze owner in the middle of a load"
	faultOrdersLate      faultKind = "orders are late"
	faultOrdersLost      faultKind = "answers to orders are lost"
	faultStoreDown       faultKind = "store down"
	faultStoreSlow       faultKind = "store slow"
	faultStoreLose       faultKind = "store loses answers"
	faultPartitionZone   faultKind = "zone cut off"
	faultEngineCrash     faultKind = "engine crashes"
	faultEngineFreeze    faultKind = "engine freezes"
	faultEngineSlow      faultKind = "engine slow"
	faultEngineResponses faultKind = "engine spoils answers"
	faultLoadsFail       faultKind = "loads fail"
	faultEngineLeaves    faultKind = "backend server leaves"
	faultWeightsSlow     faultKind = "weight store slow"
	faultService         faultKind = "service fails"
	faultCrashText       faultKind = "request that crashes engines"
)

// fault is one entry of a schedule.
type fault struct {
	kind     faultKind
	target   int // index of the entry host, zone, engine or service, or step of a load
	at       time.Duration
	duration time.Duration
	amount   int // strength or variant, depending on the kind
}

// faultSpec defines how often a kind of fault occurs and how long it is active.
type faultSpec struct {
	kind        faultKind
	weight      int
	targets     int
	minDuration time.Duration
	maxDuration time.Duration
}

// String describes the fault for the log.
func (f fault) String() string {
	return fmt.Sprintf("%6.2fs %s, target %d, for %.1fs, amount %d",
		f.at.Seconds(), f.kind, f.target, f.duration.Seconds(), f.amount)
}

// Times between the starts of successive faults. A fault may start while others are active.
const (
	minGap    = 100 * time.Millisecond
	maxGap    = 1500 * time.Millisecond
	maxAmount = 5
)

func faultSpecs(hosts, zones, engines, services int) []faultSpec {
	return []faultSpec{
		{faultKillHost, 4, hosts, time.Second, 4 * time.Second},
		{faultFreezeHost, 4, hosts, time.Second, 8 * time.Second},
		{faultTerminateHost, 3, hosts, time.Second, 2 * time.Second},
		{faultKillOwner, 4, 3, time.Second, 4 * time.Second},
		{faultFreezeOwner, 5, 3, 2 * time.Second, 9 * time.Second},
		{faultOrdersLate, 3, engines, time.Second, 5 * time.Second},
		{faultOrdersLost, 3, engines, time.Second, 5 * time.Second},
		{faultStoreDown, 3, 1, time.Second, 8 * time.Second},
		{faultStoreSlow, 2, 1, time.Second, 6 * time.Second},
		{faultStoreLose, 3, 1, time.Second, 3 * time.Second},
		{faultPartitionZone, 3, zones, 2 * time.Second, 8 * time.Second},
		{faultEngineCrash, 3, engines, time.Second, 2 * time.Second},
		{faultEngineFreeze, 2, engines, time.Second, 4 * time.Second},
		{faultEngineSlow, 3, engines, time.Second, 5 * time.Second},
		{faultEngineResponses, 3, engines, time.Second, 3 * time.Second},
		{faultLoadsFail, 2, engines, 2 * time.Second, 6 * time.Second},
		{faultEngineLeaves, 5, engines, 9 * time.Second, 12 * time.Second},
		{faultWeightsSlow, 1, 1, 2 * time.Second, 6 * time.Second},
		{faultService, 2, services, time.Second, 3 * time.Second},
		{faultCrashText, 1, 1, 6 * time.Second, 8 * time.Second},
	}
}

// newSchedule generates random faults that start and end within a given time.
func newSchedule(random *rand.Rand, length time.Duration, hosts []*entryHost, p *platform) []fault {
	specs := faultSpecs(len(hosts), len(p.zones), len(p.engines), len(p.services))
	var schedule []fault
	for at := randomDuration(random, minGap, maxGap); at < length; at += randomDuration(random, minGap, maxGap) {
		spec := drawSpec(random, specs)
		duration := randomDuration(random, spec.minDuration, spec.maxDuration)
		schedule = append(schedule, fault{
			kind: spec.kind, target: random.IntN(spec.targets), at: at,
			duration: min(duration, length-at), amount: 1 + random.IntN(maxAmount),
		})
	}
	return schedule
}

// drawSpec returns a random spec, with a probability proportional to its weight.
func drawSpec(random *rand.Rand, specs []faultSpec) faultSpec {
	total := 0
	for _, spec := range specs {
		total += spec.weight
	}
	drawn := random.IntN(total)
	for _, spec := range specs {
		if drawn < spec.weight {
			return spec
		}
		drawn -= spec.weight
	}
	return specs[0]
}

// randomDuration returns a random duration from low to high.
func randomDuration(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)+1))
}
