package routing

import (
	"time"

	"citronspread/model"
)

// reindex takes in a new snapshot.
func (r *Router) reindex(now time.Time) {
	snapshot := r.Snapshot.Load()
	if snapshot == nil || snapshot == r.index.snapshot {
		return
	}
	r.index = newIndex(snapshot)
	r.fleet.reported(snapshot)
	r.mergeSuspects(now, snapshot.Suspects)
	r.noteLoaded(now)
}

// noteLoaded learns load times from targets that have got their first replica.
func (r *Router) noteLoaded(now time.Time) {
	for target, since := range r.coldSince {
		if r.slots(now, target, Short) == 0 {
			continue
		}
		delete(r.coldSince, target)
		delete(r.readyAt, target)
		if target.Adapter == "" {
			r.estimates.loaded(now, target.Key, now.Sub(since))
		}
	}
}

// review refuses the waiting requests whose answer would come too late.
func (r *Router) review(now time.Time) {
	for _, t := range r.queue.Hopeless(now, r) {
		r.refuse(now, t, ReasonLate)
	}
	r.queue.Audit(now, unsettledExcess)
}

// refuse takes a ticket out of the queue and tells why.
func (r *Router) refuse(now time.Time, t *Ticket, reason Reason) {
	if !r.queue.Refuse(t) {
		return
	}
	t.settle(result{err: &RefusedError{Reason: reason, RetryAfter: r.retryAfter(now, t)}})
}

// retryAfter predicts when the ticket would find a place.
func (r *Router) retryAfter(now time.Time, t *Ticket) time.Duration {
	ahead := 0
	if line := r.queue.Line(t.Target); line != nil {
		ahead = len(line.Lanes[t.Class])
	}
	wait := r.Forecast(now, t.Target, t.Class).Wait(ahead)
	return max(retryAfterFloor, wait)
}

// isHopeless reports whether the answer of a waiting ticket is predicted to come too late.
func (r *Router) isHopeless(now time.Time, t *Ticket, ahead int) bool {
	start := now.Add(r.Forecast(now, t.Target, t.Class).Wait(ahead))
	return t.isLate(start, start.Add(r.Service(now, t)))
}

// dueWakes returns the wakes to be sent or repeated now.
func (r *Router) dueWakes(now time.Time) []model.Wake {
	var wakes []model.Wake
	for _, line := range r.queue.lines {
		wakes = r.appendWake(now, wakes, line)
	}
	r.forgetSettled(now)
	return wakes
}

// appendWake adds the wake of a line that has waited long enough since the last one.
func (r *Router) appendWake(now time.Time, wakes []model.Wake, line *Line) []model.Wake {
	cold := r.slots(now, line.Target, Short) == 0
	if _, noted := r.coldSince[line.Target]; cold && !noted {
		r.coldSince[line.Target] = now
	}
	if now.Sub(r.wokenAt[line.Target]) < r.Policy.WakeEvery {
		return wakes
	}
	if !cold && now.Sub(line.oldest()) < r.Policy.WakeEvery {
		return wakes
	}
	r.wokenAt[line.Target] = now
	return append(wakes, line.wake())
}

// forgetSettled drops the notes on targets for which nobody waits any more.
func (r *Router) forgetSettled(now time.Time) {
	for target, at := range r.wokenAt {
		if r.queue.Line(target) == nil && now.Sub(at) >= r.Policy.WakeEvery {
			delete(r.wokenAt, target)
		}
	}
	for target, since := range r.coldSince {
		if r.queue.Line(target) == nil && now.Sub(since) >= r.Policy.ColdStart {
			delete(r.coldSince, target)
			delete(r.readyAt, target)
		}
	}
}

// wake sums up who waits in the line.
func (l *Line) wake() model.Wake {
	w := model.Wake{Key: l.Target.Key, Adapter: l.Target.Adapter, Waiting: l.Len()}
	for _, lane := range l.Lanes {
		for _, t := range lane {
			w.Priority = max(w.Priority, t.Priority)
			if w.Deadline.IsZero() || t.Deadline.Before(w.Deadline) {
				w.Deadline = t.Deadline
			}
		}
	}
	return w
}

// oldest returns the arrival of the request that has waited longest.
func (l *Line) oldest() time.Time {
	var oldest time.Time
	for _, lane := range l.Lanes {
		for _, t := range lane {
			if oldest.IsZero() || t.Since.Before(oldest) {
				oldest = t.Since
			}
		}
	}
	return oldest
}
