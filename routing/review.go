package routing

import (
	"time"

	"citronspread/model"
)

// reindex applies the current snapshot if it has changed.
func (r *Router) reindex(now time.Time) {
	snapshot := r.Snapshot.Load()
	if snapshot == nil || snapshot == r.index.snapshot {
		return
	}
	previous := r.index
	r.index = newIndex(snapshot, previous)
	r.fleet.applyReports(snapshot, previous.snapshot)
	if now.Sub(r.fleet.prunedAt) >= pruneInterval {
		r.fleet.prune(now, snapshot)
	}
	r.mergeSuspects(now, snapshot.Suspects)
	r.recordColdStarts(now)
}

// recordColdStarts records the cold starts of models that have a usable replica now.
func (r *Router) recordColdStarts(now time.Time) {
	for target, since := range r.coldSince {
		if r.slots(now, target, Short) == 0 {
			continue
		}
		delete(r.coldSince, target)
		delete(r.readyAt, target)
		if target.Adapter == "" {
			r.estimates.recordColdStart(now, target.Key, now.Sub(since))
		}
	}
}

// refuseLate refuses the waiting requests that are predicted to be too late and audits the queue.
func (r *Router) refuseLate(now time.Time) {
	for _, t := range r.queue.PredictedLate(now, r) {
		r.refuse(now, t, ReasonLate)
	}
	r.queue.Audit(now, overdueTolerance)
}

// refuse removes a ticket from the queue and resolves it with a RefusedError.
func (r *Router) refuse(now time.Time, t *Ticket, reason Reason) {
	turn := r.refusedTurnOf(now, t)
	if !r.queue.Refuse(now, t) {
		return
	}
	refused := &RefusedError{Reason: reason, RetryAfter: r.retryAfter(now, t), Turn: turn}
	if reason == ReasonLate && r.isLimited(now, t.Target) {
		refused.Reason = ReasonLimited
		_, refused.Backends = r.splitLimited(now, t.Target)
	} else if full := r.withoutRoom(now, t); reason == ReasonLate && len(full) > 0 {
		refused.Reason, refused.Backends = ReasonFull, full
	}
	t.resolve(result{err: refused})
}

// retryAfter returns the predicted wait of a new request like the ticket, at least minRetryAfter.
func (r *Router) retryAfter(now time.Time, t *Ticket) time.Duration {
	ahead := 0
	if targetQueue := r.queue.TargetQueue(t.Target); targetQueue != nil {
		ahead = targetQueue.ByClass[t.Class].endPosition(t, r.queue.Shares.Scale(now))
	}
	wait := r.Forecast(now, t.Target, t.Class).Wait(ahead)
	return max(minRetryAfter, wait)
}

// isPredictedLate reports whether the response of a new ticket is predicted to start or end too late.
func (r *Router) isPredictedLate(now time.Time, t *Ticket, ahead int) bool {
	start := now.Add(r.Forecast(now, t.Target, t.Class).Wait(ahead))
	return t.isLate(start, start.Add(r.ServiceTime(now, t)))
}

// dueDemands returns the load demands to send or repeat now.
func (r *Router) dueDemands(now time.Time) []model.LoadDemand {
	var demands []model.LoadDemand
	for _, targetQueue := range r.queue.targets {
		demands = r.appendDemand(now, demands, targetQueue)
	}
	r.dropStaleTimes(now)
	return demands
}

// appendDemand appends a load demand for the target of a queue if the last one was sent at least Policy.DemandInterval
// ago. If the target is loaded on a backend server without a limit, the oldest request must have waited that long too.
func (r *Router) appendDemand(now time.Time, demands []model.LoadDemand, targetQueue *TargetQueue) []model.LoadDemand {
	cold := r.slots(now, targetQueue.Target, Short) == 0
	if _, recorded := r.coldSince[targetQueue.Target]; cold && !recorded {
		r.coldSince[targetQueue.Target] = now
	}
	if now.Sub(r.demandSentAt[targetQueue.Target]) < r.Policy.DemandInterval {
		return demands
	}
	if !cold && !r.isLimited(now, targetQueue.Target) && now.Sub(targetQueue.oldest()) < r.Policy.DemandInterval {
		return demands
	}
	r.demandSentAt[targetQueue.Target] = now
	return append(demands, targetQueue.demand())
}

// dropStaleTimes removes the recorded times of targets for which no request has been waiting for a while.
func (r *Router) dropStaleTimes(now time.Time) {
	for target, at := range r.demandSentAt {
		if r.queue.TargetQueue(target) == nil && now.Sub(at) >= r.Policy.DemandInterval {
			delete(r.demandSentAt, target)
		}
	}
	for target, since := range r.coldSince {
		if r.queue.TargetQueue(target) == nil && now.Sub(since) >= r.Policy.ColdStart {
			delete(r.coldSince, target)
			delete(r.readyAt, target)
		}
	}
}

// demand returns the load demand for the waiting requests: their number, highest priority and earliest deadline.
func (q *TargetQueue) demand() model.LoadDemand {
	d := model.LoadDemand{Key: q.Target.Key, Adapter: q.Target.Adapter, Software: q.Target.Software, Waiting: q.Len()}
	for t := range q.all() {
		d.Priority = max(d.Priority, t.Priority)
		if d.Deadline.IsZero() || t.Deadline.Before(d.Deadline) {
			d.Deadline = t.Deadline
		}
	}
	return d
}

// oldest returns the arrival time of the request that has waited longest.
func (q *TargetQueue) oldest() time.Time {
	var oldest time.Time
	for t := range q.all() {
		if oldest.IsZero() || t.Since.Before(oldest) {
			oldest = t.Since
		}
	}
	return oldest
}
