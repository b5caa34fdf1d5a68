package placement

import (
	"slices"
	"time"

	"citronspread/model"
)

// Times of load permits.
const (
	// permitTime bounds how long a permit is held when nobody reports the end of the load.
	permitTime = 2 * time.Minute
	// askFreshness is how long an unanswered request for a permit counts.
	askFreshness = 500 * time.Millisecond
)

// Permits decides which loads of a zone may read from the weight store. It is used by the control thread alone.
type Permits struct {
	LoadsPerSecond float64 // the zone's share of the weight store's rate
	Parallel       int     // the zone's share of the loads at full speed

	asks    map[loadID]permitAsk
	granted map[loadID]time.Time
	tokens  float64
	filled  time.Time
}

type permitAsk struct {
	wake model.Wake
	at   time.Time
}

// NewPermits returns permits of a zone that holds the given share of the weight store.
func NewPermits(loadsPerSecond float64, parallel int) *Permits {
	return &Permits{
		LoadsPerSecond: loadsPerSecond,
		Parallel:       parallel,
		asks:           make(map[loadID]permitAsk),
		granted:        make(map[loadID]time.Time),
		tokens:         1,
	}
}

// Ask returns whether a load may start now. The most urgent of the waiting asks is granted first.
func (p *Permits) Ask(now time.Time, wake model.Wake, backend string) bool {
	id := loadID{wake.Key, backend}
	if _, ok := p.granted[id]; ok {
		return true
	}
	p.expire(now)
	p.fill(now)
	p.asks[id] = permitAsk{wake: wake, at: now}
	if len(p.granted) >= p.Parallel || p.tokens < 1 || !p.isMostUrgent(id) {
		return false
	}
	delete(p.asks, id)
	p.granted[id] = now
	p.tokens--
	return true
}

// Done gives a permit back after the load ended.
func (p *Permits) Done(key model.ModelKey, backend string) {
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

// Waiting returns the number of asks that wait.
func (p *Permits) Waiting() int { return len(p.asks) }

func (p *Permits) isMostUrgent(id loadID) bool {
	asks := make([]model.Wake, 0, len(p.asks))
	for _, a := range p.asks {
		asks = append(asks, a.wake)
	}
	first := slices.MinFunc(asks, compareWakes)
	return compareWakes(p.asks[id].wake, first) <= 0
}

func (p *Permits) expire(now time.Time) {
	for id, a := range p.asks {
		if now.Sub(a.at) > askFreshness {
			delete(p.asks, id)
		}
	}
	for id, at := range p.granted {
		if now.Sub(at) > permitTime {
			delete(p.granted, id)
		}
	}
}

// fill adds the tokens of the time since the last call, up to one second's worth.
func (p *Permits) fill(now time.Time) {
	if !p.filled.IsZero() {
		p.tokens += now.Sub(p.filled).Seconds() * p.LoadsPerSecond
	}
	p.filled = now
	p.tokens = min(p.tokens, max(1, p.LoadsPerSecond))
}
