package faults

import (
	"fmt"
	"strings"
	"sync"
)

// Promise is a guarantee of the system that the run checks.
type Promise int

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

// Lines returns one line for each guarantee, followed by its first breaches, and the verdict as the last line.
func (t *Tally) Lines() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var lines []string
	verdict := "faults: passed"
	for p := range guaranteeCount {
		lines = append(lines, fmt.Sprintf("%2d %s: checked %d, breached %d", p+1, guaranteeNames[p], t.checked[p], t.breached[p]))
		for _, detail := range t.details[p] {
			lines = append(lines, "     "+detail)
		}
		if t.breached[p] > 0 {
			verdict = "faults: breached"
		}
	}
	return append(lines, verdict)
}
