package routing

import (
	"math"
	"time"

	"citronspread/load"
)

const (
	// loadDecay is the time constant with which information about a load loses weight. Requests run for one to four seconds,
	// so after two a large part of those that it counted has ended and others have come.
	loadDecay = 2 * time.Second
	// heldLag is the mean age of the reports that an owner sums: hosts report each half second.
	heldLag = 250 * time.Millisecond
	// minStatedShare is the share of the load that the entry hosts report which a backend server's own statement can't
	// go below. A server that states too little gets at most about twice its part.
	minStatedShare = 0.5
	// maxGrowth is the time for which the growth between the last two sums is expected to go on.
	maxGrowth = time.Second
	// typicalInterval is the time between two computations of the mean load.
	typicalInterval = 250 * time.Millisecond
)

// loadView is the estimate of what other routers have on a backend server.
type loadView struct {
	others   float64       // requests
	tokens   float64       // of these
	rate     float64       // requests per second of all routers
	slots    int           // as stated, 0 if unknown
	slowness float64       // 1 is normal
	age      time.Duration // of the newest part
	weight   float64       // from 1, just known, to 0, unknown
}

// loadView returns the estimate of what other routers have on a backend server.
func (r *Router) loadView(now time.Time, backend string) loadView {
	v := loadView{slowness: 1}
	k := r.loads.entries[backend]
	if k == nil {
		return v
	}
	statedAge, heldAge := now.Sub(k.Stated.At), now.Sub(k.Held.At)+heldLag
	hasStated, hasHeld := !k.Stated.At.IsZero() && statedAge < load.MaxAge, !k.Held.At.IsZero() && heldAge < load.MaxAge
	stated, held, meanTokens := 0.0, 0.0, r.tokenMean.value
	if hasStated {
		stated = float64(max(0, k.Stated.Running+k.Stated.Waiting-k.ownAtStatement))
		v.slots = k.Stated.Slots
		v.slowness += (float64(k.Stated.Slowness)/100 - 1) * ageWeight(statedAge)
	}
	if hasHeld {
		held = float64(max(0, k.Held.Requests-r.ownRequestsAt(backend, k.Held.At.Add(-heldLag))))
		v.rate = k.Held.Rate
		if k.Held.Requests > 0 {
			meanTokens = float64(k.Held.Tokens) / float64(k.Held.Requests)
		}
	}
	switch {
	case hasStated && (!hasHeld || statedAge <= heldAge):
		v.others, v.age = max(stated, minStatedShare*held), statedAge
	case hasHeld:
		v.others, v.age = held, heldAge
	default:
		return v
	}
	v.weight = ageWeight(v.age)
	v.others = max(0, v.others+k.growth*min(v.age, maxGrowth).Seconds())
	v.tokens = v.others * meanTokens
	return v
}

// ageWeight returns the weight of information of an age, from 1 to 0.
func ageWeight(age time.Duration) float64 {
	return math.Exp(-max(0, age).Seconds() / loadDecay.Seconds())
}

// typicalLoad returns the mean load of the backend servers whose load is known, per slot. It is assumed for the others.
func (r *Router) typicalLoad(now time.Time) float64 {
	if now.Sub(r.loads.typicalAt) < typicalInterval {
		return r.loads.typical
	}
	r.loads.typicalAt = now
	r.loads.expire(now)
	sum, slots := 0.0, 0.0
	for name := range r.loads.entries {
		b := r.fleet.backends[name]
		if b == nil || b.capacity == 0 {
			continue
		}
		if v := r.loadView(now, name); v.weight > 0 {
			sum += v.weight * (v.others + float64(b.ownRequests))
			slots += v.weight * float64(b.capacity)
		}
	}
	r.loads.typical = 0
	if slots > 0 {
		r.loads.typical = sum / slots
	}
	return r.loads.typical
}

// ownRequests returns the requests of this router on a backend server of a model or a plain service.
func (r *Router) ownRequests(backend string) int {
	if b := r.fleet.backends[backend]; b != nil {
		return b.ownRequests
	}
	return r.endpointCalls.byBackend[backend]
}

// ownRequestsAt returns the requests that this router had there at an earlier time. For a plain service only the present
// number is known.
func (r *Router) ownRequestsAt(backend string, at time.Time) int {
	if b := r.fleet.backends[backend]; b != nil {
		return b.ownUpTo(at)
	}
	return r.endpointCalls.byBackend[backend]
}
