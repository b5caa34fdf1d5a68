package routing

import (
	"time"

	"citronspread/model"
)

// tier ranks replicas by zone and by the age of their report; lower tiers are preferred.
type tier int

const (
	tierLocal tier = iota
	tierRemote
	tierStaleLocal
	tierStaleRemote
	tiers
)

// usableReplicas returns the replicas that may receive requests for the target, by tier.
// Replicas with a stale report are used only when no other replica is usable.
func (r *Router) usableReplicas(now time.Time, target Target) [tiers][]*model.Replica {
	var found [tiers][]*model.Replica
	routed := r.index.find(target.Key)
	if routed == nil {
		return found
	}
	for i := range routed.Replicas {
		replica := &routed.Replicas[i]
		if !r.mayServe(now, target, replica) {
			continue
		}
		if _, inBackOff := r.stated.backOffEnd(now, replica.Backend, replica.Born); inBackOff {
			continue
		}
		t := r.tierOf(now, replica)
		found[t] = append(found[t], replica)
	}
	if len(found[tierLocal])+len(found[tierRemote]) > 0 {
		found[tierStaleLocal], found[tierStaleRemote] = nil, nil
	}
	return found
}

// mayServe reports whether the replica can serve the target, apart from a back-off of its backend server.
func (r *Router) mayServe(now time.Time, target Target, replica *model.Replica) bool {
	if replica.Draining || r.stated.isLeaving(now, replica.Backend, replica.Born) || !supports(replica, target) {
		return false
	}
	return !r.fleet.get(replica.Backend).isNotLoaded(now, target, replica)
}

func (r *Router) tierOf(now time.Time, replica *model.Replica) tier {
	local := replica.Zone == r.Zone || r.Policy.AnyZone
	stale := now.Sub(replica.UpdatedAt) > r.Policy.StaleAfter
	switch {
	case local && !stale:
		return tierLocal
	case !stale:
		return tierRemote
	case local:
		return tierStaleLocal
	default:
		return tierStaleRemote
	}
}

// chooseReplica returns a replica with free capacity for the ticket, preferring the router's zone, or nil if there is none.
func (r *Router) chooseReplica(now time.Time, t *Ticket, longWaiting map[string]int) *model.Replica {
	usable := r.usableReplicas(now, t.Target)
	avoidable := canAvoid(t, usable)
	for _, replicas := range usable {
		var candidates []Candidate
		var allowed []*model.Replica
		for _, replica := range replicas {
			if avoidable && t.avoids(replica.Backend) || !r.mayGrant(now, t, replica, longWaiting) {
				continue
			}
			allowed = append(allowed, replica)
			candidates = append(candidates, r.candidate(now, t, replica))
		}
		if len(allowed) > 0 {
			return allowed[r.Picker.Pick(now, candidates, r.random)]
		}
	}
	return nil
}

// canAvoid reports whether there is a usable replica on which the request has not failed.
func canAvoid(t *Ticket, usable [tiers][]*model.Replica) bool {
	for _, replicas := range usable {
		for _, replica := range replicas {
			if !t.avoids(replica.Backend) {
				return true
			}
		}
	}
	return false
}

// mayGrant reports whether the ticket may be granted to the replica now. When long requests wait and this router runs
// fewer of them there than their guaranteed share, at most Policy.MaxShortStreak short requests in a row go first.
func (r *Router) mayGrant(now time.Time, t *Ticket, replica *model.Replica, longWaiting map[string]int) bool {
	b := r.fleet.get(replica.Backend)
	if !r.stated.rampNextAt(now, replica.Backend, replica.Born).IsZero() {
		return false
	}
	if !r.hasCapacity(now, t, replica) || !r.stated.allows(now, replica.Backend) || !r.trialAllows(t, b) || !r.pinAllows(t, replica.Backend) {
		return false
	}
	if t.Class == Long {
		return true
	}
	capacity, routers := r.capacity(replica), r.routers()
	longDue := longWaiting[replica.Backend] > 0 && b.ownLongRequests < r.Policy.longFloor(capacity, routers)
	return !longDue || b.shortStreak < r.Policy.MaxShortStreak
}

// hasCapacity reports whether the replica has free capacity for a request of the ticket's class. If its last report
// shows it full, this router uses at most its fair share of it.
func (r *Router) hasCapacity(now time.Time, t *Ticket, replica *model.Replica) bool {
	b, capacity := r.fleet.get(replica.Backend), r.capacity(replica)
	if now.Before(b.pausedUntil) || b.ownRequests+b.otherRequests >= capacity || !r.hasRoom(now, t, replica) {
		return false
	}
	if b.totalRequests >= capacity && b.ownRequests >= r.fairShare(capacity) {
		return false
	}
	return t.Class != Long || b.ownLongRequests < r.Policy.longCap(capacity, r.routers())
}

// trialAllows reports whether a trial may run on the backend server. A suspect that had started shortly before the crash
// shares the server with no other suspect, so that a second crash identifies the cause.
func (r *Router) trialAllows(t *Ticket, b *backend) bool {
	if !t.trial {
		return true
	}
	if t.recent {
		return b.trials == 0
	}
	return b.recentTrials == 0
}

// pinAllows reports whether the request is not pinned to another backend server; see Router.pin.
func (r *Router) pinAllows(t *Ticket, name string) bool {
	pin, pinned := r.pins[t.Fingerprint]
	return !pinned || pin.backend == name
}

func (r *Router) candidate(now time.Time, t *Ticket, replica *model.Replica) Candidate {
	b := r.fleet.get(replica.Backend)
	latency, at := b.observed.latency(now, b.ownRequests, r.estimates.expectedTokens(&t.Request))
	v := r.loadView(now, replica.Backend)
	return Candidate{
		KnownOthers: v.others,
		Confidence:  v.weight,
		Typical:     r.typicalLoad(now),
		Slowness:    v.slowness,
		Backend:     replica.Backend,
		Capacity:    r.capacity(replica),
		Outstanding: b.ownRequests,
		Others:      b.otherRequests,
		Latency:     latency,
		ObservedAt:  at,
		Credits:     replica.Credits - b.ownRequests,
	}
}

func (r *Router) capacity(replica *model.Replica) int {
	if replica.Capacity > 0 {
		return replica.Capacity
	}
	return r.Policy.DefaultCapacity
}

// fairShare returns this router's equal share of a replica's capacity, rounded up.
func (r *Router) fairShare(capacity int) int {
	routers := r.routers()
	return (capacity + routers - 1) / routers
}

func (r *Router) routers() int {
	if r.index.snapshot == nil {
		return 1
	}
	return max(1, r.index.snapshot.Routers)
}
