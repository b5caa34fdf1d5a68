package faults

import (
	"time"

	"citronspread/model"
	"citronspread/standin"
)

const (
	leavingGrace     = 5 * time.Second  // after the host list shows a backend server as leaving
	maxLoweringTime  = 15 * time.Second // within which new loads must respect a lowered number of replicas
	maxCrashesInZone = 2                // backend servers that one request may crash in a zone
)

// checkResults compares what the callers received with what the stand-ins recorded.
func (r *Run) checkResults() {
	runs := countRuns(r.platform.runs.all())
	r.checkExchanges(runs)
	r.checkBookings(runs)
	r.checkReplicas()
	if r.slots != nil {
		r.checkSlots()
	}
	r.checkMemory()
	r.checkLeaving()
	r.checkSuspects()
	for _, kind := range []exchangeKind{kindStream, kindBuffered, kindRead, kindBooking, kindKeyedBooking} {
		r.Log("faults: %s: %v", kind, r.exchangeLog.countOutcomes(kind))
	}
}

// countRuns counts runs by content.
func countRuns(runs []standin.RequestRun) map[string]int {
	counts := map[string]int{}
	for _, run := range runs {
		counts[run.Content]++
	}
	return counts
}

// checkExchanges checks each request's time, its response and, if it was sent once and refused as not run, that it did
// not run.
func (r *Run) checkExchanges(runs map[string]int) {
	sent := map[string]int{}
	for _, x := range r.exchangeLog.list() {
		sent[x.content]++
	}
	for _, x := range r.exchangeLog.list() {
		if x.outcome == outcomeNoConnection {
			continue
		}
		r.checkTime(x)
		if x.outcome == outcomeComplete || x.outcome == outcomeWrong {
			r.tally.Check(CompleteResponse, x.outcome == outcomeComplete, "%s at %s: %s", x.kind, x.host, x.detail)
		}
		if x.outcome == outcomeNotRun && sent[x.content] == 1 {
			r.tally.Check(NotRunIsTrue, runs[x.content] == 0, "%s at %s: ran %d times: %s", x.content, x.host, runs[x.content], x.detail)
		}
	}
}

// checkTime checks that a request was served or refused in time, unless its entry host was killed meanwhile.
// A request at an entry host that was shut down must also end with a response, but only within callerTimeout.
func (r *Run) checkTime(x exchange) {
	if r.faultLog.anyBetween(x.begin, x.end, isFault(x.host, faultKillHost)) {
		return
	}
	ended := x.outcome != outcomeInterrupted && x.outcome != outcomeTimedOut
	if r.faultLog.anyBetween(x.begin, x.end, isFault(x.host, faultTerminateHost)) {
		r.tally.Check(PlannedStopInterruptsNothing, ended, "%s at %s: %s after %s: %s", x.kind, x.host, x.outcome, x.end.Sub(x.begin), x.detail)
		return
	}
	allowed := requestTimeout + responseMargin + r.faultLog.frozenFor(x.host, x.begin, x.end)
	r.tally.Check(ServedOrRefusedInTime, ended && x.end.Sub(x.begin) <= allowed,
		"%s at %s: %s after %s: %s", x.kind, x.host, x.outcome, x.end.Sub(x.begin), x.detail)
}

// checkBookings checks how often each booking ran against the outcomes of all its attempts.
func (r *Run) checkBookings(runs map[string]int) {
	attempts := map[string][]exchange{}
	for _, x := range r.exchangeLog.list() {
		if x.kind.isBooking() {
			attempts[x.content] = append(attempts[x.content], x)
		}
	}
	for content, tried := range attempts {
		completed, refused := 0, 0
		for _, x := range tried {
			switch x.outcome {
			case outcomeComplete:
				completed++
			case outcomeNotRun, outcomeNoConnection:
				refused++
			}
		}
		r.tally.Check(AtMostOnce, runs[content] <= 1, "%s ran %d times in %d attempts", content, runs[content], len(tried))
		if completed > 0 {
			r.tally.Check(CompleteResponse, runs[content] == 1, "%s got a complete response and ran %d times", content, runs[content])
		}
		if refused == len(tried) {
			r.tally.Check(NotRunIsTrue, runs[content] == 0, "%s was refused and ran %d times", content, runs[content])
		}
	}
}

// checkReplicas checks that a load never exceeds the number of replicas decided at that time.
func (r *Run) checkReplicas() {
	r.eachLoad(func(event standin.ReplicaEvent, loaded int) {
		decided := r.decidedAt(event.Key, event.At)
		r.tally.Check(ReplicasAsDecided, loaded <= decided, "%s: %d loaded at %s on %s, %d decided",
			event.Key, loaded, event.At.Format(time.TimeOnly), event.Backend, decided)
	})
}

// decidedAt returns the largest number of replicas that a load at a given time may still rely on.
func (r *Run) decidedAt(key model.ModelKey, at time.Time) int {
	from := r.decisionCutoff(at)
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

// decisionCutoff returns the earliest time at which a decision may have been replaced and still permit a load at the
// given time. Faults that delay the effect of a lowered number move it back.
func (r *Run) decisionCutoff(at time.Time) time.Time {
	from := at.Add(-maxLoweringTime)
	earliest := from
	for _, p := range r.faultLog.between(from, at, delaysLowering) {
		if begin := p.begin.Add(-maxLoweringTime); begin.Before(earliest) {
			earliest = begin
		}
	}
	return earliest
}

func delaysLowering(p faultPeriod) bool {
	switch p.kind {
	case faultStoreDown, faultStoreSlow, faultPartitionZone, faultFreezeHost, faultKillHost:
		return true
	}
	return false
}

// checkMemory checks that no load exceeded an engine's memory and logs the engine's counts.
func (r *Run) checkMemory() {
	for _, e := range r.platform.engines {
		counts := e.Counts()
		r.tally.Check(MemoryNotOvercommitted, counts.MemoryOvercommitted == 0, "%s: %d loads did not fit", e.Backend, counts.MemoryOvercommitted)
		r.Log("faults: %s: loads %d, failed %d, unloads %d, crashes %d, duplicate loads %d, repeated orders %d, stale orders %d (run %d), interrupted requests %d",
			e.Backend, counts.Loads, counts.FailedLoads, counts.Unloads, counts.Crashes, counts.DuplicateLoads,
			counts.RepeatedOrders, counts.StaleOrders, counts.StaleOrdersRun, counts.CutRequests)
	}
}

// checkLeaving checks that no request starts on a backend server that has been leaving for leavingGrace, unless a zone
// was partitioned during that time.
func (r *Run) checkLeaving() {
	for _, p := range r.faultLog.between(time.Time{}, time.Now(), func(p faultPeriod) bool { return p.kind == faultEngineLeaves }) {
		late := 0
		for _, run := range r.platform.runs.all() {
			if run.Backend == p.target && run.At.After(p.begin.Add(leavingGrace)) && run.At.Before(p.end) {
				late++
			}
		}
		partitioned := r.faultLog.anyBetween(p.begin, p.begin.Add(leavingGrace), func(other faultPeriod) bool { return other.kind == faultPartitionZone })
		if p.end.Sub(p.begin) > leavingGrace && !partitioned {
			r.tally.Check(NoWorkWhileLeaving, late == 0, "%s: %d runs after %s", p.target, late, leavingGrace)
		}
	}
}

// crashedIncarnation is an incarnation of an engine that ran a request that crashes it.
type crashedIncarnation struct {
	backend     string
	incarnation model.Incarnation
}

// checkSuspects checks that a request that crashes engines lost at most maxCrashesInZone backend servers in each zone.
func (r *Run) checkSuspects() {
	for _, p := range r.faultLog.between(time.Time{}, time.Now(), func(p faultPeriod) bool { return p.kind == faultCrashText }) {
		seen := map[crashedIncarnation]bool{}
		lost := map[string]int{}
		for _, run := range r.platform.runs.all() {
			c := crashedIncarnation{run.Backend, run.Incarnation}
			if run.Content != p.target || seen[c] {
				continue
			}
			seen[c] = true
			lost[r.platform.engineZone(run.Backend)]++
		}
		for _, zone := range r.platform.zones {
			r.tally.Check(CrashesContained, lost[zone] <= maxCrashesInZone, "%s: %s lost %d backend servers", p.target, zone, lost[zone])
		}
	}
}
