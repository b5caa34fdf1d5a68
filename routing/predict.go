package routing

import (
	"time"

	"citronspread/model"
)

// Forecast predicts the waits in one class queue of a target.
type Forecast struct {
	Start time.Duration // until the first request of the queue starts
	Each  time.Duration // between the starts of two successive requests of the queue
}

// Wait returns the predicted wait of a ticket with the given number of tickets ahead of it.
func (f Forecast) Wait(ahead int) time.Duration {
	return f.Start + time.Duration(ahead)*f.Each
}

// ServiceTime implements Predictor.
func (r *Router) ServiceTime(now time.Time, t *Ticket) time.Duration {
	return r.estimates.expectedServiceTime(now, &t.Request)
}

// Forecast implements Predictor.
func (r *Router) Forecast(now time.Time, target Target, class Class) Forecast {
	history := r.estimates.model(target.Key)
	serviceTime := history.serviceTime[class].duration(now)
	if forecast, limited := r.limitedForecast(now, target); limited {
		return forecast
	}
	slots := r.slots(now, target, class)
	if slots == 0 {
		return Forecast{Start: r.remainingColdStart(now, target, history)}
	}
	each := serviceTime / time.Duration(slots)
	return Forecast{Start: each, Each: each}
}

// remainingColdStart returns the expected time until the target is loaded. A time set with SetReadyAt has precedence.
func (r *Router) remainingColdStart(now time.Time, target Target, history *modelHistory) time.Duration {
	if at, announced := r.readyAt[target]; announced {
		return max(0, at.Sub(now))
	}
	expected := r.Policy.ColdStart
	switch {
	case r.Policy.AdapterStart > 0 && target.Adapter != "" && r.slots(now, Target{Key: target.Key, Software: target.Software}, Short) > 0:
		expected = r.Policy.AdapterStart
	case history.coldStart.known:
		expected = time.Duration(history.coldStart.value * float64(time.Second))
	}
	since, waiting := r.coldSince[target]
	if !waiting {
		return expected
	}
	return max(0, expected-now.Sub(since))
}

// slots returns how many requests of the class this router may run concurrently for the target.
func (r *Router) slots(now time.Time, target Target, class Class) int {
	total := 0
	for _, replicas := range r.usableReplicas(now, target) {
		for _, replica := range replicas {
			total += r.replicaSlots(replica, class)
		}
	}
	return total
}

func (r *Router) replicaSlots(replica *model.Replica, class Class) int {
	capacity := r.capacity(replica)
	if class == Long {
		return r.Policy.longCap(capacity, r.routers())
	}
	return max(1, r.fairShare(capacity)-r.fleet.get(replica.Backend).ownLongRequests)
}
