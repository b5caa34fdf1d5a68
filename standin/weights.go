package standin

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/time/rate"
)

const (
	defaultLoadsPerSecond    = 3
	defaultFullSpeedLoads    = 4
	defaultFullSpeedAdapters = 32
	permitTTL                = 2 * time.Minute // a permit expires after this time, because its holder may have crashed
)

// PermitKind is what a permit allows to read from the weight store.
type PermitKind string

const (
	PermitLoad    PermitKind = "Load"
	PermitAdapter PermitKind = "Adapter"
)

// Permit allows one read from the weight store. The read takes Slowdown times as long as at full speed.
type Permit struct {
	ID       string
	Slowdown float64
}

// WeightPermits grants permits to read from the weight store. Release returns a permit.
type WeightPermits interface {
	Acquire(ctx context.Context, kind PermitKind) (Permit, error)
	Release(ctx context.Context, id string)
}

// WeightCounts counts the reads of a weight store.
type WeightCounts struct {
	Loads        int
	PeakLoads    int // highest number of concurrent loads
	SlowLoads    int // loads that began with more than FullSpeedLoads in flight
	Adapters     int
	PeakAdapters int // highest number of concurrent adapter reads
	SlowAdapters int // adapter reads that began with more than FullSpeedAdapters in flight
}

// WeightFault configures the faults that the weight store injects until the next POST /weights/fault.
type WeightFault struct {
	SlowFactor float64 // multiplies the time of each read; 0 for none
}

// WeightStore simulates the rate-limited remote store of checkpoints and adapters.
type WeightStore struct {
	Address           string
	LoadsPerSecond    float64
	FullSpeedLoads    int // concurrent loads beyond this number slow down
	FullSpeedAdapters int // concurrent adapter reads beyond this number slow down

	once     sync.Once
	limiter  *rate.Limiter
	mu       sync.Mutex
	permits  map[string]heldPermit
	inFlight map[PermitKind]int
	counts   WeightCounts
	fault    WeightFault
}

// heldPermit is a permit that has not been returned.
type heldPermit struct {
	kind      PermitKind
	expiresAt time.Time
}

func (s *WeightStore) init() {
	if s.LoadsPerSecond == 0 {
		s.LoadsPerSecond = defaultLoadsPerSecond
	}
	if s.FullSpeedLoads == 0 {
		s.FullSpeedLoads = defaultFullSpeedLoads
	}
	if s.FullSpeedAdapters == 0 {
		s.FullSpeedAdapters = defaultFullSpeedAdapters
	}
	s.limiter = rate.NewLimiter(rate.Limit(s.LoadsPerSecond), 1)
	s.permits = map[string]heldPermit{}
	s.inFlight = map[PermitKind]int{}
}

// Acquire grants a permit. Loads wait for the rate limit first.
func (s *WeightStore) Acquire(ctx context.Context, kind PermitKind) (Permit, error) {
	s.once.Do(s.init)
	if kind == PermitLoad {
		if err := s.limiter.Wait(ctx); err != nil {
			return Permit{}, err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.expire(now)
	s.inFlight[kind]++
	s.countRead(kind)
	permit := Permit{ID: uuid.NewString(), Slowdown: s.slowdown(kind)}
	s.permits[permit.ID] = heldPermit{kind: kind, expiresAt: now.Add(permitTTL)}
	return permit, nil
}

// Release returns a permit.
func (s *WeightStore) Release(_ context.Context, id string) {
	s.once.Do(s.init)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release(id)
}

func (s *WeightStore) Counts() WeightCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// SetFault replaces the current fault.
func (s *WeightStore) SetFault(fault WeightFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// release removes a permit. s.mu must be held.
func (s *WeightStore) release(id string) {
	held, ok := s.permits[id]
	if !ok {
		return
	}
	delete(s.permits, id)
	s.inFlight[held.kind]--
}

// expire removes expired permits, whose holders have probably crashed. s.mu must be held.
func (s *WeightStore) expire(now time.Time) {
	for id, held := range s.permits {
		if now.After(held.expiresAt) {
			s.release(id)
		}
	}
}

func (s *WeightStore) fullSpeedLimit(kind PermitKind) int {
	if kind == PermitLoad {
		return s.FullSpeedLoads
	}
	return s.FullSpeedAdapters
}

// slowdown returns the factor on the time of a read. Beyond the full-speed limit it is proportional to the number of
// reads in flight. s.mu must be held.
func (s *WeightStore) slowdown(kind PermitKind) float64 {
	factor := max(1, float64(s.inFlight[kind])/float64(s.fullSpeedLimit(kind)))
	if s.fault.SlowFactor > 0 {
		factor *= s.fault.SlowFactor
	}
	return factor
}

func (s *WeightStore) countRead(kind PermitKind) {
	n := s.inFlight[kind]
	slow := n > s.fullSpeedLimit(kind)
	c := &s.counts
	if kind == PermitLoad {
		c.Loads++
		c.PeakLoads = max(c.PeakLoads, n)
		if slow {
			c.SlowLoads++
		}
		return
	}
	c.Adapters++
	c.PeakAdapters = max(c.PeakAdapters, n)
	if slow {
		c.SlowAdapters++
	}
}
