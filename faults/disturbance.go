package faults

import (
	"sync"
	"time"
)

// disturbance is the time that a fault lasted. An end of zero means that it lasts.
type disturbance struct {
	kind   faultKind
	target string // an entry host, a zone, a backend server, or empty
	begin  time.Time
	end    time.Time
}

// overlaps reports whether the fault lasted at some time between begin and end.
func (d *disturbance) overlaps(begin, end time.Time) bool {
	return !d.begin.After(end) && (d.end.IsZero() || !d.end.Before(begin))
}

// overlap returns how long the fault lasted between begin and end.
func (d *disturbance) overlap(begin, end time.Time) time.Duration {
	if !d.overlaps(begin, end) {
		return 0
	}
	if d.begin.After(begin) {
		begin = d.begin
	}
	if !d.end.IsZero() && d.end.Before(end) {
		end = d.end
	}
	return end.Sub(begin)
}

// disturbances keeps the faults of a run.
type disturbances struct {
	mu  sync.Mutex
	all []*disturbance
}

func (d *disturbances) begin(kind faultKind, target string) *disturbance {
	d.mu.Lock()
	defer d.mu.Unlock()
	begun := &disturbance{kind: kind, target: target, begin: time.Now()}
	d.all = append(d.all, begun)
	return begun
}

func (d *disturbances) finish(begun *disturbance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	begun.end = time.Now()
}

// between returns copies of the faults that match and lasted at some time between begin and end.
func (d *disturbances) between(begin, end time.Time, matches func(disturbance) bool) []disturbance {
	d.mu.Lock()
	defer d.mu.Unlock()
	var found []disturbance
	for _, o := range d.all {
		if o.overlaps(begin, end) && matches(*o) {
			found = append(found, *o)
		}
	}
	return found
}

// anyBetween reports whether a fault that matches lasted at some time between begin and end.
func (d *disturbances) anyBetween(begin, end time.Time, matches func(disturbance) bool) bool {
	return len(d.between(begin, end, matches)) > 0
}

// frozenFor returns how long a host was frozen between begin and end.
func (d *disturbances) frozenFor(host string, begin, end time.Time) time.Duration {
	var total time.Duration
	for _, o := range d.between(begin, end, isFault(host, faultFreezeHost)) {
		total += o.overlap(begin, end)
	}
	return total
}

// isFault matches faults of a target by kind.
func isFault(target string, kinds ...faultKind) func(disturbance) bool {
	return func(d disturbance) bool {
		if d.target != target {
			return false
		}
		for _, kind := range kinds {
			if d.kind == kind {
				return true
			}
		}
		return false
	}
}
