package faults

import (
	"sync"
	"time"
)

// faultPeriod records when a fault was active. The end is zero while it is active.
type faultPeriod struct {
	kind   faultKind
	target string // name of an entry host, a zone or a backend server, text of a crashing request, or empty
	begin  time.Time
	end    time.Time
}

// overlaps reports whether the fault was active at any time between begin and end.
func (p *faultPeriod) overlaps(begin, end time.Time) bool {
	return !p.begin.After(end) && (p.end.IsZero() || !p.end.Before(begin))
}

// overlap returns how long the fault was active between begin and end.
func (p *faultPeriod) overlap(begin, end time.Time) time.Duration {
	if !p.overlaps(begin, end) {
		return 0
	}
	if p.begin.After(begin) {
		begin = p.begin
	}
	if !p.end.IsZero() && p.end.Before(end) {
		end = p.end
	}
	return end.Sub(begin)
}

// faultLog records the faults of a run.
type faultLog struct {
	mu  sync.Mutex
	all []*faultPeriod
}

func (l *faultLog) begin(kind faultKind, target string) *faultPeriod {
	l.mu.Lock()
	defer l.mu.Unlock()
	period := &faultPeriod{kind: kind, target: target, begin: time.Now()}
	l.all = append(l.all, period)
	return period
}

func (l *faultLog) finish(period *faultPeriod) {
	l.mu.Lock()
	defer l.mu.Unlock()
	period.end = time.Now()
}

// between returns copies of the matching faults that were active at any time between begin and end.
func (l *faultLog) between(begin, end time.Time, matches func(faultPeriod) bool) []faultPeriod {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []faultPeriod
	for _, p := range l.all {
		if p.overlaps(begin, end) && matches(*p) {
			found = append(found, *p)
		}
	}
	return found
}

// anyBetween reports whether a matching fault was active at any time between begin and end.
func (l *faultLog) anyBetween(begin, end time.Time, matches func(faultPeriod) bool) bool {
	return len(l.between(begin, end, matches)) > 0
}

// frozenFor returns how long a host was frozen between begin and end.
func (l *faultLog) frozenFor(host string, begin, end time.Time) time.Duration {
	var total time.Duration
	for _, p := range l.between(begin, end, isFault(host, faultFreezeHost)) {
		total += p.overlap(begin, end)
	}
	return total
}

// isFault returns a function that matches faults of the given kinds on a target.
func isFault(target string, kinds ...faultKind) func(faultPeriod) bool {
	return func(p faultPeriod) bool {
		if p.target != target {
			return false
		}
		for _, kind := range kinds {
			if p.kind == kind {
				return true
			}
		}
		return false
	}
}
