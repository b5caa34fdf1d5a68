package placement

import (
	"slices"
	"time"

	"citronspread/model"
)

const (
	// permitTTL is how long a permit counts as in use if the end of the load is not reported.
	permitTTL = 2 * time.Minute
	// permitRequestTTL is how long a request for a permit counts unless it is repeated.
	permitRequestTTL = 500 * time.Millisecond
)

// Permits limits the loads of a zone that read from the weight store. Each load needs a permit.
// It is not safe for concurrent use; only the control thread uses it.
type Permits struct {
	LoadsPerSecond float64 // the zone's share of the weight store's load rate
	MaxParallel    int     // the zone's share of the parallel loads that the weight store serves at full speed

	requests   map[loadID]permitRequest
	granted    map[loadID]time.Time
	tokens     float64
	refilledAt time.Time
}

type permitRequest struct {
	demand model.LoadDemand
	at     time.Time
}

// NewPermits returns the permits of a zone with the given share of the weight store.
func NewPermits(loadsPerSecond float64, parallel int) *Permits {
	return &Permits{
		LoadsPerSecond: loadsPerSecond,
		MaxParallel:    parallel,
		requests:       make(map[loadID]permitRequest),
		granted:        make(map[loadID]time.Time),
		tokens:         1,
	}
}

// Request requests a permit and reports whether the load may start now. The most urgent waiting request is granted
// first.
func (p *Permits) Request(now time.Time, demand model.LoadDemand, backend string) bool {
	id := loadID{demand.Key, backend}
	if _, ok := p.granted[id]; ok {
		return true
	}
	p.expire(now)
	p.refill(now)
	p.requests[id] = permitRequest{demand: demand, at: now}
	if len(p.granted) >= p.MaxParallel || p.tokens < 1 || !p.isMostUrgent(id) {
		return false
	}
	delete(p.requests, id)
	p.granted[id] = now
	p.tokens--
	return true
}

// Release releases a permit after the load has ended.
func (p *Permits) Release(key model.ModelKey, backend string) {
	delete(p.granted, loadID{key, backend})
}

// GrantedLoad is a load that holds a permit.
type GrantedLoad struct {
	Key     model.ModelKey
	Backend string
}

// Granted returns the loads that hold a permit.
func (p *Permits) Granted() []GrantedLoad {
	granted := make([]GrantedLoad, 0, len(p.granted))
	for id := range p.granted {
		granted = append(granted, GrantedLoad{Key: id.key, Backend: id.backend})
	}
	return granted
}

// InUse returns the number of granted permits.
func (p *Permits) InUse() int { return len(p.granted) }

// Waiting returns the number of requests that wait for a permit.
func (p *Permits) Waiting() int { return len(p.requests) }

func (p *Permits) isMostUrgent(id loadID) bool {
	requests := make([]model.LoadDemand, 0, len(p.requests))
	for _, r := range p.requests {
		requests = append(requests, r.demand)
	}
	first := slices.MinFunc(requests, compareDemands)
	return compareDemands(p.requests[id].demand, first) <= 0
}

func (p *Permits) expire(now time.Time) {
	for id, r := range p.requests {
		if now.Sub(r.at) > permitRequestTTL {
			delete(p.requests, id)
		}
	}
	for id, at := range p.granted {
		if now.Sub(at) > permitTTL {
			delete(p.granted, id)
		}
	}
}

// refill adds tokens for the time since the last call. The bucket holds the tokens of one second, and at least one.
func (p *Permits) refill(now time.Time) {
	if !p.refilledAt.IsZero() {
		p.tokens += now.Sub(p.refilledAt).Seconds() * p.LoadsPerSecond
	}
	p.refilledAt = now
	p.tokens = min(p.tokens, max(1, p.LoadsPerSecond))
}
