package routing

import (
	"time"

	"citronspread/model"
)

// tier orders replicas by where they are and how far their report is trusted.
type tier int

const (
	tierLocal tier = iota
	tierRemote
	tierStaleLocal
	tierStaleRemote
	tiers
)

// usable returns the replicas that may get work for the target, by tier.
// Stale ones are left out while any other is there.
func (r *Router) usable(now time.Time, target Target) [tiers][]*model.Replica {
	var found [tiers][]*model.Replica
	routed := r.index.models[target.Key]
	if routed == nil {
		return found
	}
	for i := range routed.Replicas {
		replica := &routed.Replicas[i]
		if replica.Draining || !holds(replica, target) {
			continue
		}
		if r.fleet.get(replica.Backend).isMissing(now, target, replica) {
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

// choose picks a replica with room for the ticket, in the zone first. It returns nil when there is none.
func (r *Router) choose(now time.Time, t *Ticket, longWaits map[string]int) *model.Replica {
	usable := r.usable(now, t.Target)
	avoidable := canAvoid(t, usable)
	for _, replicas := range usable {
		var candidates []Candidate
		var fitting []*model.Replica
		for _, replica := range replicas {
			if avoidable && t.avoids(replica.Backend) || !r.fits(now, t, replica, longWaits) {
				continue
			}
			fitting = append(fitting, replica)
			candidates = append(candidates, r.candidate(now, t, replica))
		}
		if len(fitting) > 0 {
			return fitting[r.Picker.Pick(now, candidates, r.random)]
		}
	}
	return nil
}

// canAvoid reports whether a replica is left on which the request has not failed.
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

// fits reports whether the replica has room for the ticket now.
func (r *Router) fits(now time.Time, t *Ticket, replica *model.Replica, longWaits map[string]int) bool {
	b := r.fleet.get(replica.Backend)
	if !r.hasRoom(now, t, replica) || !r.trialFits(t, b) || !r.pinFits(t, replica.Backend) {
		return false
	}
	if t.Class == Long {
		return true
	}
	capacity, routers := r.capacity(replica), r.routers()
	owed := longWaits[replica.Backend] > 0 && b.ownLong < r.Policy.longFloor(capacity, routers)
	return !owed || b.shortRun < r.Policy.ShortRun
}

// hasRoom reports whether the replica has a place for a request of the ticket's class.
func (r *Router) hasRoom(now time.Time, t *Ticket, replica *model.Replica) bool {
	b, capacity := r.fleet.get(replica.Backend), r.capacity(replica)
	if now.Before(b.pausedUntil) || b.own+b.others >= capacity {
		return false
	}
	if b.total >= capacity && b.own >= r.fairShare(capacity) {
		return false
	}
	return t.Class != Long || b.ownLong < r.Policy.longCap(capacity, r.routers())
}

// trialFits keeps a suspect that had just begun apart from all other suspects,
// so that a second death tells which one it was.
func (r *Router) trialFits(t *Ticket, b *backend) bool {
	if !t.trial {
		return true
	}
	if t.prime {
		return b.trials == 0
	}
	return b.trialsPrime == 0
}

// pinFits keeps copies of one unproven request on one backend server.
func (r *Router) pinFits(t *Ticket, name string) bool {
	pin, pinned := r.pins[t.Fingerprint]
	return !pinned || pin.backend == name
}

func (r *Router) candidate(now time.Time, t *Ticket, replica *model.Replica) Candidate {
	b := r.fleet.get(replica.Backend)
	latency, at := b.observed.latency(now, b.own, r.estimates.expectedTokens(&t.Request))
	return Candidate{
		Backend:     replica.Backend,
		Capacity:    r.capacity(replica),
		Outstanding: b.own,
		Others:      b.others,
		Latency:     latency,
		ObservedAt:  at,
		Credits:     replica.Credits - b.own,
	}
}

func (r *Router) capacity(replica *model.Replica) int {
	if replica.Capacity > 0 {
		return replica.Capacity
	}
	return r.Policy.DefaultCapacity
}

// fairShare returns the places of this router on a replica that all routers want.
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
