package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// event is a line of the record about a request.
type event struct {
	at   time.Time
	text string
}

// recordTraffic writes what was sent, answered and run, in the order of time.
func (w *world) recordTraffic(calls []call) {
	var events []event
	for _, c := range calls {
		events = append(events, event{at: c.sentAt, text: fmt.Sprintf("sent %s to %s", c.id, c.host.name)})
		answer := fmt.Sprint(c.status)
		if c.status == 0 {
			answer = "nothing"
		}
		events = append(events, event{at: c.doneAt, text: fmt.Sprintf("answered %s: %s", c.id, answer)})
	}
	for _, s := range w.servers {
		for _, a := range s.arrived() {
			text := "turned away by " + s.id + ": " + a.id
			if a.ran {
				text = "run by " + s.id + ": " + a.id
			}
			events = append(events, event{at: a.at, text: text})
		}
	}
	slices.SortStableFunc(events, func(a, b event) int { return a.at.Compare(b.at) })
	var lines strings.Builder
	for _, e := range events {
		fmt.Fprintf(&lines, "%8.3f %s\n", e.at.Sub(w.started).Seconds(), e.text)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = w.record.WriteString(lines.String()) // as in note
}
