package faults

import (
	"fmt"
	"strings"
	"sync"
)

// Promise is something that must always hold.
type Promise int

// Promises.
const (
	ReplicasAsDecided Promise = iota
	MemoryNotOvercommitted
	ServedOrRefusedInTime
	WholeAnswer
	NotRunIsTrue
	AtMostOnce
	NoWorkWhileLeaving
	PlannedStopCutsNothing
	ConfigurationInForce
	SuspectsContained
	ServedAfterFaults
	InvariantsHold
	promiseCount
)

var promiseNames = [promiseCount]string{
	"no more replicas than decided",
	"memory not overcommitted",
	"served or refused in time",
	"whole answer to its own request",
	"\"not run\" is true",
	"at most once",
	"no new work on a leaving backend server",
	"planned stop cuts no request",
	"configuration in force and never reverted",
	"a crashing request loses at most two backend servers a zone",
	"each model is served after the faults",
	"invariants asserted in the program hold",
}

// Bounds of the details kept for each promise.
const (
	maxBreachesShown = 5
	maxDetailBytes   = 300
)

// Tally counts the checks and breaches of the promises.
type Tally struct {
	mu       sync.Mutex
	checked  [promiseCount]int
	breached [promiseCount]int
	details  [promiseCount][]string
}

// Check counts one check. The text tells what was seen when it is a breach.
func (t *Tally) Check(p Promise, holds bool, format string, values ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checked[p]++
	if holds {
		return
	}
	t.breached[p]++
	if len(t.details[p]) < maxBreachesShown {
		detail := fmt.Sprintf(format, values...)
		t.details[p] = append(t.details[p], strings.Join(strings.Fields(detail[:min(len(detail), maxDetailBytes)]), " "))
	}
}

// Breached reports whether a promise was breached.
func (t *Tally) Breached() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range t.breached {
		if n > 0 {
			return true
		}
	}
	return false
}

// Lines returns one line a promise, each with its first breaches below, and the verdict.
func (t *Tally) Lines() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var lines []string
	verdict := "faults: passed"
	for p := range promiseCount {
		lines = append(lines, fmt.Sprintf("%2d %s: checked %d, breached %d", p+1, promiseNames[p], t.checked[p], t.breached[p]))
		for _, detail := range t.details[p] {
			lines = append(lines, "     "+detail)
		}
		if t.breached[p] > 0 {
			verdict = "faults: breached"
		}
	}
	return append(lines, verdict)
}
