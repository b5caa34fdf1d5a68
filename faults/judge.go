package faults

import (
	"time"

	"citronspread/model"
	"citronspread/standin"
)

// Bounds of the judgement.
const (
	leavingGrace     = 5 * time.Second  // from the showing in the host list
	lowerWithin      = 15 * time.Second // for a lowered number to bind new loads
	maxCrashesInZone = 2
)

// judge compares what callers saw with the stand-ins' own counts.
func (r *Run) judge() {
	runs := countRuns(r.platform.runs.all())
	r.judgeExchanges(runs)
	r.judgeBookings(runs)
	r.judgeReplicas()
	if r.slots != nil {
		r.judgeSlots()
	}
	r.judgeMemory()
	r.judgeLeaving()
	r.judgeSuspects()
	for _, kind := range []exchangeKind{kindStream, kindAnswer, kindRead, kindBooking, kindKeyedBooking} {
		r.Log("faults: %s: %v", kind, r.exchanges.countOutcomes(kind))
	}
}

// countRuns counts runs by content.
func countRuns(runs []standin.Run) map[string]int {
	counts := map[string]int{}
	for _, run := range runs {
		counts[run.Content]++
	}
	return counts
}

func (r *Run) judgeExchanges(runs map[string]int) {
	sent := map[string]int{}
	for _, x := range r.exchanges.list() {
		sent[x.content]++
	}
	for _, x := range r.exchanges.list() {
		if x.outcome == outcomeNoConnection {
			continue
		}
		r.judgeTime(x)
		if x.outcome == outcomeWhole || x.outcome == outcomeWrong {
			r.tally.Check(WholeAnswer, x.outcome == outcomeWhole, "%s at %s: %s", x.kind, x.host, x.detail)
		}
		if x.outcome == outcomeNotRun && sent[x.content] == 1 {
			r.tally.Check(NotRunIsTrue, runs[x.content] == 0, "%s at %s: ran %d times: %s", x.content, x.host, runs[x.content], x.detail)
		}
	}
}

// judgeTime checks that a request ended with an answer in time, unless its entry host was killed.
func (r *Run) judgeTime(x exchange) {
	if r.disturbances.anyBetween(x.begin, x.end, isFault(x.host, faultKillHost)) {
		return
	}
	ended := x.outcome != outcomeCut && x.outcome != outcomeTimedOut
	if r.disturbances.anyBetween(x.begin, x.end, isFault(x.host, faultTerminateHost)) {
		r.tally.Check(PlannedStopCutsNothing, ended, "%s at %s: %s after %s: %s", x.kind, x.host, x.outcome, x.end.Sub(x.begin), x.detail)
		return
	}
	allowed := requestTimeout + answerMargin + r.disturbances.frozenFor(x.host, x.begin, x.end)
	r.tally.Check(ServedOrRefusedInTime, ended && x.end.Sub(x.begin) <= allowed,
		"%s at %s: %s after %s: %s", x.kind, x.host, x.outcome, x.end.Sub(x.begin), x.detail)
}

// judgeBookings checks the runs of each booking against all its attempts.
func (r *Run) judgeBookings(runs map[string]int) {
	attempts := map[string][]exchange{}
	for _, x := range r.exchanges.list() {
		if x.kind.isBooking() {
			attempts[x.content] = append(attempts[x.content], x)
		}
	}
	for content, tried := range attempts {
		answered, refused := 0, 0
		for _, x := range tried {
			switch x.outcome {
			case outcomeWhole:
				answered++
			case outcomeNotRun, outcomeNoConnection:
				refused++
			}
		}
		r.tally.Check(AtMostOnce, runs[content] <= 1, "%s ran %d times in %d attempts", content, runs[content], len(tried))
		if answered > 0 {
			r.tally.Check(WholeAnswer, runs[content] == 1, "%s was answered and ran %d times", content, runs[content])
		}
		if refused == len(tried) {
			r.tally.Check(NotRunIsTrue, runs[content] == 0, "%s was refused and ran %d times", content, runs[content])
		}
	}
}

// judgeReplicas checks each load against the number decided at its time.
func (r *Run) judgeReplicas() {
	r.eachLoad(func(event standin.CensusEvent, loaded int) {
		decided := r.decidedAt(event.Key, event.At)
		r.tally.Check(ReplicasAsDecided, loaded <= decided, "%s: %d loaded at %s on %s, %d decided",
			event.Key, loaded, event.At.Format(time.TimeOnly), event.Backend, decided)
	})
}

// decidedAt returns the largest number that may still bind a load.
func (r *Run) decidedAt(key model.ModelKey, at time.Time) int {
	from := r.lowerBound(at)
	decided := 0
	for _, record := range r.config.records {
		if record.key != key {
			continue
		}
		history := record.history()
		for i, d := range history {
			replaced := i+1 < len(history) && history[i+1].at.Before(from)
			if !replaced && !d.at.After(at) {
				decided = max(decided, d.replicas)
			}
		}
	}
	return decided
}

// lowerBound goes back from a time over the faults that keep a lowered number from taking effect.
func (r *Run) lowerBound(at time.Time) time.Time {
	from := at.Add(-lowerWithin)
	earliest := from
	for _, d := range r.disturbances.between(from, at, delaysLowering) {
		if begin := d.begin.Add(-lowerWithin); begin.Before(earliest) {
			earliest = begin
		}
	}
	return earliest
}

func delaysLowering(d disturbance) bool {
	switch d.kind {
	case faultStoreDown, faultStoreSlow, faultCutZone, faultFreezeHost, faultKillHost:
		return true
	}
	return false
}

func (r *Run) judgeMemory() {
	for _, e := range r.platform.engines {
		counts := e.Counts()
		r.tally.Check(MemoryNotOvercommitted, counts.MemoryOvercommitted == 0, "%s: %d loads did not fit", e.Backend, counts.MemoryOvercommitted)
		r.Log("faults: %s: loads %d, failed %d, unloads %d, crashes %d, duplicate loads %d, repeated orders %d, stale orders %d (run %d), cut requests %d",
			e.Backend, counts.Loads, counts.FailedLoads, counts.Unloads, counts.Crashes, counts.DuplicateLoads,
			counts.RepeatedOrders, counts.StaleOrders, counts.StaleOrdersRun, counts.CutRequests)
	}
}

// judgeLeaving checks that no run begins on a backend server that has been leaving for some seconds.
func (r *Run) judgeLeaving() {
	for _, d := range r.disturbances.between(time.Time{}, time.Now(), func(d disturbance) bool { return d.kind == faultEngineLeaves }) {
		late := 0
		for _, run := range r.platform.runs.all() {
			if run.Backend == d.target && run.At.After(d.begin.Add(leavingGrace)) && run.At.Before(d.end) {
				late++
			}
		}
		cut := r.disturbances.anyBetween(d.begin, d.begin.Add(leavingGrace), func(o disturbance) bool { return o.kind == faultCutZone })
		if d.end.Sub(d.begin) > leavingGrace && !cut {
			r.tally.Check(NoWorkWhileLeaving, late == 0, "%s: %d runs after %s", d.target, late, leavingGrace)
		}
	}
}

// crashed is one life of an engine that ran a request that crashes it.
type crashed struct {
	backend string
	life    model.Incarnation
}

func (r *Run) judgeSuspects() {
	for _, d := range r.disturbances.between(time.Time{}, time.Now(), func(d disturbance) bool { return d.kind == faultCrashText }) {
		seen := map[crashed]bool{}
		lost := map[string]int{}
		for _, run := range r.platform.runs.all() {
			c := crashed{run.Backend, run.Life}
			if run.Content != d.target || seen[c] {
				continue
			}
			seen[c] = true
			lost[r.platform.engineZone(run.Backend)]++
		}
		for _, zone := range r.platform.zones {
			r.tally.Check(SuspectsContained, lost[zone] <= maxCrashesInZone, "%s: %s lost %d backend servers", d.target, zone, lost[zone])
		}
	}
}
