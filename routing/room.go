package routing

import (
	"time"

	"citronspread/model"
)

const (
	// MemoryShare is the part of a backend server's memory for tokens that hosts fill. The rest covers requests of hosts that
	// do not reach its owner.
	MemoryShare = 0.9
	// blindRequests is the highest number of requests of other routers that are assumed to be on their way unknown: in a burst
	// each host may send one before it learns of those of the others.
	blindRequests = 64
	// unsureRequests is the same if the owner does not reply.
	unsureRequests = 8
	// askShare is the share of the limit of requests from which a place is asked for.
	askShare = 0.75
)

// hasRoom reports whether a backend server of a model is expected to have room for the request, in requests and in tokens.
func (r *Router) hasRoom(now time.Time, t *Ticket, replica *model.Replica) bool {
	b, capacity := r.fleet.get(replica.Backend), r.capacity(replica)
	b.capacity = capacity
	reportedRoom := r.Policy.FillFactor == 0 && b.reportedAt.After(b.full.at) && b.totalRequests < capacity
	if !reportedRoom && r.isFull(now, &b.full, replica.Backend, capacity) {
		return false
	}
	v := r.loadView(now, replica.Backend)
	if float64(b.ownRequests)+v.weight*v.others >= r.Policy.fillLimit(capacity) {
		return false
	}
	return r.hasMemory(b, v, replica.CacheTokens, r.tokensOf(&t.Request), 0)
}

// withoutRoom returns the backend servers that could serve the ticket if none of them has room, and none if one has.
func (r *Router) withoutRoom(now time.Time, t *Ticket) []string {
	var full []string
	for _, replicas := range r.usableReplicas(now, t.Target) {
		for _, replica := range replicas {
			if r.hasRoom(now, t, replica) {
				return nil
			}
			full = append(full, replica.Backend)
		}
	}
	return full
}

// hasMemory reports whether the tokens of a request are expected to fit beside those of the requests there and of a number of
// unknown ones. What other routers may have sent since the last information is added at the rate at which they sent before.
func (r *Router) hasMemory(b *backend, v loadView, cacheTokens, tokens, unknown int) bool {
	if cacheTokens <= 0 {
		return true
	}
	others := v.tokens
	if v.others > 0 {
		others += v.rate * min(v.age, loadDecay).Seconds() * v.tokens / v.others
	}
	used := float64(b.ownTokens) + others + float64(unknown)*max(float64(tokens), r.tokenMean.value)
	if used == 0 {
		return tokens <= cacheTokens
	}
	return used+float64(tokens) <= MemoryShare*float64(cacheTokens)
}

// tokensOf returns the tokens that a request may take on its backend server: those that it states, or else the mean.
func (r *Router) tokensOf(request *Request) int {
	if request.Tokens > 0 {
		return request.Tokens
	}
	return int(r.tokenMean.value)
}

// needsPlace reports whether the owner of the backend server must be asked for a place: the memory might not hold what other
// routers may send at the same time, or the server is nearly full.
func (r *Router) needsPlace(now time.Time, b *backend, t *Ticket, replica *model.Replica) bool {
	v := r.loadView(now, replica.Backend)
	if v.weight > 0 && float64(b.ownRequests)+v.weight*v.others >= askShare*r.Policy.fillLimit(r.capacity(replica)) {
		return true
	}
	return !r.hasMemory(b, v, replica.CacheTokens, t.heldTokens, min(r.hosts()-1, blindRequests))
}

// MayGoWithoutPlace reports whether the request may be sent although the owner of the backend server does not reply: its
// memory is expected to hold some further ones.
func (g *Grant) MayGoWithoutPlace(now time.Time) bool {
	r := g.router
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.fleet.get(g.Replica.Backend)
	return r.hasMemory(b, r.loadView(now, b.name), g.Replica.CacheTokens, 0, min(r.hosts()-1, unsureRequests))
}

// NeedsPlace reports whether the owner of the backend server must be asked for a place before the request is sent.
func (g *Grant) NeedsPlace() bool { return g.ticket.needsPlace }

// IsOnly reports whether no other backend server has room for the request now.
func (g *Grant) IsOnly(now time.Time) bool {
	r := g.router
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, replicas := range r.usableReplicas(now, g.ticket.Target) {
		for _, replica := range replicas {
			if replica.Backend != g.Replica.Backend && r.hasRoom(now, g.ticket, replica) {
				return false
			}
		}
	}
	return true
}

// Tokens returns the tokens that the request may take on its backend server.
func (g *Grant) Tokens() int { return g.ticket.heldTokens }

// Placed records that the owner of the backend server has given the request a place.
func (g *Grant) Placed() {
	r := g.router
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleet.get(g.Replica.Backend).full.acceptFrom(g.startedAt)
}

// hosts returns the number of live entry hosts of all zones, at least 1.
func (r *Router) hosts() int {
	if r.index.snapshot == nil {
		return 1
	}
	return max(1, r.index.snapshot.Hosts, r.index.snapshot.Routers)
}

// LoadInput is what was known of the load of a backend server when a request was granted to it.
type LoadInput struct {
	Own    int           // requests of this router there, without the granted one
	Others float64       // requests of other routers, 0 if not known
	Age    time.Duration // of that number
	Known  bool
}

// loadInput returns what is known of the load of a backend server.
func (r *Router) loadInput(now time.Time, backend string) LoadInput {
	v := r.loadView(now, backend)
	return LoadInput{Own: r.ownRequests(backend), Others: v.others, Age: v.age, Known: v.weight > 0}
}

// recordGrantedLoad counts a granted request and returns what was known before.
func (r *Router) recordGrantedLoad(now time.Time, b *backend, t *Ticket, replica *model.Replica) LoadInput {
	input := r.loadInput(now, b.name)
	if t.Tokens > 0 {
		r.tokenMean.add(now, float64(t.Tokens))
	}
	t.heldTokens = r.tokensOf(&t.Request)
	t.needsPlace = r.needsPlace(now, b, t, replica)
	b.ownRequests++
	b.ownTokens += t.heldTokens
	b.full.granted(now, r.random)
	r.usages.recordStart(b.name, t.Target, t.heldTokens)
	return input
}

// recordEndedLoad counts a request that has ended.
func (r *Router) recordEndedLoad(now time.Time, b *backend, g *Grant, outcome Outcome) {
	b.ownRequests--
	b.ownTokens -= g.ticket.heldTokens
	r.endFull(now, &b.full, b.name, g.startedAt, outcome)
	r.usages.recordEnd(b.name, g.ticket.Target, g.ticket.heldTokens)
}
