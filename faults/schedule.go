package faults

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// faultKind names a kind of fault.
type faultKind string

const (
	faultKillHost      faultKind = "kill entry host"
	faultFreezeHost    faultKind = "freeze entry host"
	faultTerminateHost faultKind = "planned stop of entry host"
	faultTrapKill      faultKind = "kill owner in the middle of a load"
	faultTrapFreeze    faultKind = "freeze owner in the middle of a load"
	faultOrdersLate    faultKind = "orders are late"
	faultOrdersLost    faultKind = "answers to orders are lost"
	faultStoreDown     faultKind = "store down"
	faultStoreSlow     faultKind = "store slow"
	faultStoreLose     faultKind = "store loses answers"
	faultCutZone       faultKind = "zone cut off"
	faultEngineCrash   faultKind = "engine crashes"
	faultEngineFreeze  faultKind = "engine freezes"
	faultEngineSlow    faultKind = "engine slow"
	faultEngineAnswers faultKind = "engine spoils answers"
	faultLoadsFail     faultKind = "loads fail"
	faultEngineLeaves  faultKind = "backend server leaves"
	faultWeightsSlow   faultKind = "weight store slow"
	faultService       faultKind = "service fails"
	faultCrashText     faultKind = "request that crashes engines"
)

// fault is one entry of a schedule.
type fault struct {
	kind     faultKind
	target   int // index among hosts, zones, engines or services
	at       time.Duration
	duration time.Duration
	amount   int
}

// faultForm tells how often and how long a kind of fault comes.
type faultForm struct {
	kind     faultKind
	weight   int
	targets  int
	shortest time.Duration
	longest  time.Duration
}

// String returns a line for the log.
func (f fault) String() string {
	return fmt.Sprintf("%6.2fs %s, target %d, for %.1fs, amount %d",
		f.at.Seconds(), f.kind, f.target, f.duration.Seconds(), f.amount)
}

// Gaps between faults. A fault may begin while others last.
const (
	shortestGap = 100 * time.Millisecond
	longestGap  = 1500 * time.Millisecond
	maxAmount   = 5
)

func faultForms(hosts, zones, engines, services int) []faultForm {
	return []faultForm{
		{faultKillHost, 4, hosts, time.Second, 4 * time.Second},
		{faultFreezeHost, 4, hosts, time.Second, 8 * time.Second},
		{faultTerminateHost, 3, hosts, time.Second, 2 * time.Second},
		{faultTrapKill, 4, 3, time.Second, 4 * time.Second},
		{faultTrapFreeze, 5, 3, 2 * time.Second, 9 * time.Second},
		{faultOrdersLate, 3, engines, time.Second, 5 * time.Second},
		{faultOrdersLost, 3, engines, time.Second, 5 * time.Second},
		{faultStoreDown, 3, 1, time.Second, 8 * time.Second},
		{faultStoreSlow, 2, 1, time.Second, 6 * time.Second},
		{faultStoreLose, 3, 1, time.Second, 3 * time.Second},
		{faultCutZone, 3, zones, 2 * time.Second, 8 * time.Second},
		{faultEngineCrash, 3, engines, time.Second, 2 * time.Second},
		{faultEngineFreeze, 2, engines, time.Second, 4 * time.Second},
		{faultEngineSlow, 3, engines, time.Second, 5 * time.Second},
		{faultEngineAnswers, 3, engines, time.Second, 3 * time.Second},
		{faultLoadsFail, 2, engines, 2 * time.Second, 6 * time.Second},
		{faultEngineLeaves, 5, engines, 9 * time.Second, 12 * time.Second},
		{faultWeightsSlow, 1, 1, 2 * time.Second, 6 * time.Second},
		{faultService, 2, services, time.Second, 3 * time.Second},
		{faultCrashText, 1, 1, 6 * time.Second, 8 * time.Second},
	}
}

// newSchedule draws faults until the time is over. All of them end within it.
func newSchedule(random *rand.Rand, length time.Duration, hosts []*entryHost, p *platform) []fault {
	forms := faultForms(len(hosts), len(p.zones), len(p.engines), len(p.services))
	var schedule []fault
	for at := between(random, shortestGap, longestGap); at < length; at += between(random, shortestGap, longestGap) {
		form := drawForm(random, forms)
		duration := between(random, form.shortest, form.longest)
		schedule = append(schedule, fault{
			kind: form.kind, target: random.IntN(form.targets), at: at,
			duration: min(duration, length-at), amount: 1 + random.IntN(maxAmount),
		})
	}
	return schedule
}

func drawForm(random *rand.Rand, forms []faultForm) faultForm {
	total := 0
	for _, form := range forms {
		total += form.weight
	}
	drawn := random.IntN(total)
	for _, form := range forms {
		if drawn < form.weight {
			return form
		}
		drawn -= form.weight
	}
	return forms[0]
}

func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)+1))
}
