package standin

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/time/rate"
)

// Defaults of the weight store.
const (
	defaultLoadsPerSecond    = 3
	defaultFullSpeedLoads    = 4
	defaultFullSpeedAdapters = 32
	permitLife               = 2 * time.Minute
)

// PermitKind tells what is read from the weight store.
type PermitKind string

// Permit kinds.
const (
	PermitLoad    PermitKind = "Load"
	PermitAdapter PermitKind = "Adapter"
)

// Permit allows one read. The read takes Slowdown times as long as at full speed.
type Permit struct {
	ID       string
	Slowdown float64
}

// Weights hands out permits of the weight store.
type Weights interface {
	Begin(ctx context.Context, kind PermitKind) (Permit, error)
	End(ctx context.Context, id string)
}

// WeightCounts counts the reads of a weight store.
type WeightCounts struct {
	Loads        int
	PeakLoads    int // in flight at once
	SlowLoads    int // begun when all permits of full speed were taken
	Adapters     int
	PeakAdapters int
	SlowAdapters int
}

// WeightFault is what the weight store does wrong until the next POST /weights/fault.
type WeightFault struct {
	SlowFactor float64
}

// WeightStore imitates the rate-limited store of checkpoints and adapters.
type WeightStore struct {
	Address           string
	LoadsPerSecond    float64
	FullSpeedLoads    int
	FullSpeedAdapters int

	once     sync.Once
	limiter  *rate.Limiter
	mu       sync.Mutex
	permits  map[string]heldPermit
	inFlight map[PermitKind]int
	counts   WeightCounts
	fault    WeightFault
}

// heldPermit is a permit that was not given back.
type heldPermit struct {
	kind   PermitKind
	endsAt time.Time
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

// Begin waits for the rate limit and returns a permit.
func (s *WeightStore) Begin(ctx context.Context, kind PermitKind) (Permit, error) {
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
	s.countBegin(kind)
	permit := Permit{ID: uuid.NewString(), Slowdown: s.slowdown(kind)}
	s.permits[permit.ID] = heldPermit{kind: kind, endsAt: now.Add(permitLife)}
	return permit, nil
}

// End gives a permit back.
func (s *WeightStore) End(_ context.Context, id string) {
	s.once.Do(s.init)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release(id)
}

// Counts returns the reads so far.
func (s *WeightStore) Counts() WeightCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// SetFault replaces the present fault.
func (s *WeightStore) SetFault(fault WeightFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// release drops a permit. The caller holds the mutex.
func (s *WeightStore) release(id string) {
	held, ok := s.permits[id]
	if !ok {
		return
	}
	delete(s.permits, id)
	s.inFlight[held.kind]--
}

// expire drops the permits of holders that died. The caller holds the mutex.
func (s *WeightStore) expire(now time.Time) {
	for id, held := range s.permits {
		if now.After(held.endsAt) {
			s.release(id)
		}
	}
}

func (s *WeightStore) fullSpeed(kind PermitKind) int {
	if kind == PermitLoad {
		return s.FullSpeedLoads
	}
	return s.FullSpeedAdapters
}

// slowdown is proportional to what is in flight beyond full speed.
func (s *WeightStore) slowdown(kind PermitKind) float64 {
	factor := max(1, float64(s.inFlight[kind])/float64(s.fullSpeed(kind)))
	if s.fault.SlowFactor > 0 {
		factor *= s.fault.SlowFactor
	}
	return factor
}

func (s *WeightStore) countBegin(kind PermitKind) {
	n := s.inFlight[kind]
	slow := n > s.fullSpeed(kind)
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
