package ratelimit

import (
	"maps"
	"math"
	"slices"
	"time"
)

// turn is the place of an asker that got too little.
type turn struct {
	until time.Time // when it must have asked again
	least int       // smallest amount that is of use to it
}

// askers divides what there is among those that ask for it and have to ask again if it is too little.
type askers struct {
	queued  map[string]turn      // those that got too little for their queue
	askedAt map[string]time.Time // when each last asked
}

func newAskers() askers {
	return askers{queued: make(map[string]turn), askedAt: make(map[string]time.Time)}
}

// expire forgets those that have not asked again.
func (a *askers) expire(now time.Time) {
	maps.DeleteFunc(a.queued, func(_ string, t turn) bool { return now.After(t.until) })
	maps.DeleteFunc(a.askedAt, func(_ string, at time.Time) bool { return now.Sub(at) > askerTTL })
}

// begin records that one asks, and returns how many wait, itself included.
func (a *askers) begin(now time.Time, r Request) (waiting int) {
	a.askedAt[r.Host] = now
	delete(a.queued, r.Host)
	return len(a.queued) + 1
}

// wait records that one got too little and must ask again within a time.
func (a *askers) wait(now time.Time, r Request, within time.Duration) {
	a.queued[r.Host] = turn{until: now.Add(within), least: r.least()}
}

// ahead returns the sum of the smallest amounts that those that wait can use.
func (a *askers) ahead() int {
	total := 0
	for _, t := range a.queued {
		total += t.least
	}
	return total
}

// part returns the part of what is available that a request gets: all that it asks for, or else an equal part, but not less than
// is of use to it. level is what is available, required the level at which the least amount may be taken, and waiting the
// number of requests that it is divided among.
func (r Request) part(level, required float64, waiting int) int {
	if level < required {
		return 0
	}
	return min(r.Count, max(r.least(), int(level)/waiting))
}

// fewAmounts is the number of least amounts up to which a request counts as one for few callers' requests.
const fewAmounts = 8

// wholePart is part for callers' requests that cost different amounts. If they are few, what is more than the least amount and less
// than all would be too little for the next one of them, and be lost.
func (r Request) wholePart(level, required float64, waiting int) int {
	granted := r.part(level, required, waiting)
	if granted < r.Count && r.Count < fewAmounts*r.least() {
		return min(granted, r.least())
	}
	return granted
}

// heldRequest is a request whose reply waits until there is enough for it.
type heldRequest struct {
	Request
	at    time.Time
	until time.Time
	reply func(Reply)
}

// line holds requests in the order of their arrival.
type line struct {
	held   []heldRequest
	active map[string]time.Time // when each asker asked last
}

// activeFor is how long one that has asked counts among those that share what accrues.
const activeFor = time.Second

func newLine() line { return line{active: make(map[string]time.Time)} }

func (l *line) add(now time.Time, r heldRequest) {
	l.active[r.Host] = now
	i := len(l.held)
	if r.First {
		i = l.first()
	}
	l.held = slices.Insert(l.held, i, r)
}

// first returns how many of the held requests go before others.
func (l *line) first() int {
	if i := slices.IndexFunc(l.held, func(h heldRequest) bool { return !h.First }); i >= 0 {
		return i
	}
	return len(l.held)
}

// sharers returns how many share what accrues.
func (l *line) sharers(now time.Time) int {
	maps.DeleteFunc(l.active, func(_ string, at time.Time) bool { return now.Sub(at) > activeFor })
	return max(1, len(l.active))
}

// count returns what the held requests ask for.
func (l *line) count() (total int) {
	for _, h := range l.held {
		total += h.Count
	}
	return total
}

// next removes the first request and replies to it.
func (l *line) next(now time.Time, reply Reply) {
	h := l.held[0]
	l.held = l.held[1:]
	reply.Held = now.Sub(h.at)
	h.reply(reply)
}

// refuse replies to the requests that can't be served in time. missing is what the first one lacks, spacing the expected time
// in which a further amount of 1 accrues, 0 if that is not known. It returns the sum of their least amounts.
func (l *line) refuse(now time.Time, missing float64, spacing time.Duration, reply Reply) (refused int) {
	kept := l.held[:0]
	var late []heldRequest
	for _, h := range l.held {
		wait := span(int(math.Ceil(missing)), spacing)
		if now.Add(wait).After(h.until) || !now.Before(h.until) {
			late = append(late, h)
			continue
		}
		kept = append(kept, h)
		missing += float64(h.least())
	}
	l.held = kept
	for _, h := range late {
		refused += h.least()
		r := reply
		r.Held = now.Sub(h.at)
		r.RetryAfter = max(span(int(math.Ceil(missing)), spacing), minCapPause)
		h.reply(r)
	}
	return refused
}

// firstUntil returns the earliest time at which a held request must be replied to.
func (l *line) firstUntil() (first time.Time) {
	for _, h := range l.held {
		if first.IsZero() || h.until.Before(first) {
			first = h.until
		}
	}
	return first
}
