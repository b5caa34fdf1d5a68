package faults

import (
	"fmt"
	"strings"
	"sync"
)

// Guarantee is a guarantee of the system that the run checks.
type Guarantee int

const (
	ReplicasAsDecided Guarantee = iota
	MemoryNotOvercommitted
	ServedOrRefusedInTime
	CompleteResponse
	NotRunIsTrue
	AtMostOnce
	NoWorkWhileLeaving
	PlannedStopInterruptsNothing
	ConfigurationActive
	CrashesContained
	ServedAfterFaults
	InvariantsHold
	guaranteeCount
)

var guaranteeNames = [guaranteeCount]string{
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

// Limits of the details stored for each guarantee.
const (
	maxBreachesShown = 5
	maxDetailBytes   = 300
)

// Tally counts the checks and breaches of each guarantee.
type Tally struct {
	mu       sync.Mutex
	checked  [guaranteeCount]int
	breached [guaranteeCount]int
	details  [guaranteeCount][]string
}

// Check counts a check. If the guarantee does not hold, it counts a breach, which format and values describe.
func (t *Tally) Check(g Guarantee, holds bool, format string, values ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checked[g]++
	if holds {
		return
	}
	t.breached[g]++
	if len(t.details[g]) < maxBreachesShown {
		detail := fmt.Sprintf(format, values...)
		t.details[g] = append(t.details[g], strings.Join(strings.Fields(detail[:min(len(detail), maxDetailBytes)]), " "))
	}
}

// Breached reports whether any guarantee was breached.
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

// Report returns one line for each guarantee, followed by its first breaches, and the verdict as the last line.
func (t *Tally) Report() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var lines []string
	verdict := "faults: passed"
	for g := range guaranteeCount {
		lines = append(lines, fmt.Sprintf("%2d %s: checked %d, breached %d", g+1, guaranteeNames[g], t.checked[g], t.breached[g]))
		for _, detail := range t.details[g] {
			lines = append(lines, "     "+detail)
		}
		if t.breached[g] > 0 {
			verdict = "faults: breached"
		}
	}
	return append(lines, verdict)
}
