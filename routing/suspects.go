package routing

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"citronspread/model"
)

const (
	deathsToRefuse = 2
	maxProven      = 4096
)

// SuspectState is what may be done with a request now.
type SuspectState int

// States.
const (
	StateClear   SuspectState = iota
	StateRefused              // a second backend server was lost to it
	StateHeld                 // a copy runs alone, here or at another entry host
	StateClaimed              // it may run alone once the claim has spread
)

// Verdict is the answer of Suspects.Check.
type Verdict struct {
	State  SuspectState
	Until  time.Time // end of the refusal or of the claim's spreading
	Prime  bool      // it had begun shortly before the first death
	Tokens int       // the longest answer that it had brought at a death
}

// SuspectTotals counts since the start.
type SuspectTotals struct {
	Deaths   int64
	Trials   int64
	Cleared  int64
	Refused  int64
	Convicts int64
}

// Suspects remembers requests that were running when a backend server died.
type Suspects struct {
	Name       string        // this entry host
	RefuseFor  time.Duration // refusal after the second death
	TrialDelay time.Duration // time in which a claim spreads to the other entry hosts
	TrialHold  time.Duration // a claim that is not renewed ends after it
	Forget     time.Duration // a suspect without news is forgotten
	Limit      int           // suspects remembered
	Publish    func(model.Suspect)

	mu      sync.Mutex
	entries map[model.Fingerprint]model.Suspect
	running map[model.Fingerprint]bool // trials of this entry host
	proven  map[model.Fingerprint]time.Time
	totals  SuspectTotals
}

// Check says what may be done with a request. A claim is made at once where one is needed.
func (s *Suspects) Check(now time.Time, f model.Fingerprint) Verdict {
	s.mu.Lock()
	e, known := s.entries[f]
	if !known || e.Deaths == 0 {
		s.mu.Unlock()
		return Verdict{State: StateClear}
	}
	if e.Deaths >= deathsToRefuse && now.Before(e.RefuseUntil) {
		s.totals.Refused++
		s.mu.Unlock()
		return Verdict{State: StateRefused, Until: e.RefuseUntil}
	}
	held := e.Holder != "" && now.Before(e.HeldUntil) && e.Holder != s.Name
	if held || s.running[f] {
		s.mu.Unlock()
		return Verdict{State: StateHeld, Until: e.HeldUntil}
	}
	e.Holder, e.HeldUntil = s.Name, now.Add(s.TrialHold)
	e.Epoch++
	s.put(e)
	s.mark(f)
	s.totals.Trials++
	s.mu.Unlock()
	s.publish(e)
	return Verdict{State: StateClaimed, Until: now.Add(s.TrialDelay), Prime: e.Recent, Tokens: e.Tokens}
}

// Confirm reports whether the claim still stands after it has spread. A lost claim is given up.
func (s *Suspects) Confirm(now time.Time, f model.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[f]
	refused := e.Deaths >= deathsToRefuse && now.Before(e.RefuseUntil)
	if s.running[f] && e.Holder == s.Name && !refused {
		return true
	}
	delete(s.running, f)
	return false
}

// Release gives up a claim whose request was not run or ended without a whole answer.
func (s *Suspects) Release(f model.Fingerprint) {
	s.mu.Lock()
	e, known := s.entries[f]
	delete(s.running, f)
	if !known || e.Holder != s.Name {
		s.mu.Unlock()
		return
	}
	e.Holder, e.HeldUntil = "", time.Time{}
	e.Epoch++
	s.put(e)
	s.mu.Unlock()
	s.publish(e)
}

// Died notes that the request was running on a backend server that died, and how many tokens it had brought.
func (s *Suspects) Died(now time.Time, f model.Fingerprint, backend string, recent bool, tokens int) {
	s.mu.Lock()
	e, known := s.entries[f]
	if !known {
		e = model.Suspect{Fingerprint: f, Recent: recent}
	}
	delete(s.proven, f)
	delete(s.running, f)
	if e.Holder == s.Name {
		e.Holder, e.HeldUntil = "", time.Time{}
		e.Epoch++
	}
	e.Lost = mergeDeaths(e.Lost, []model.Death{{Backend: backend, At: now}})
	e.Deaths = len(e.Lost)
	e.Tokens = max(e.Tokens, tokens)
	s.totals.Deaths++
	if e.Deaths >= deathsToRefuse {
		e.RefuseUntil = now.Add(s.RefuseFor)
		s.totals.Convicts++
	}
	s.put(e)
	s.mu.Unlock()
	s.publish(e)
}

// Answered notes that the request got its whole answer.
func (s *Suspects) Answered(now time.Time, f model.Fingerprint) {
	s.mu.Lock()
	s.prove(now, f)
	e, known := s.entries[f]
	if !known || !s.running[f] {
		s.mu.Unlock()
		return
	}
	delete(s.running, f)
	e.ClearedAt = now
	e.Lost, e.Deaths = nil, 0
	e.Holder, e.HeldUntil = "", time.Time{}
	e.Epoch++
	s.put(e)
	s.totals.Cleared++
	s.mu.Unlock()
	s.publish(e)
}

// Proven reports whether the request has lately got a whole answer without a death since.
func (s *Suspects) Proven(f model.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, found := s.proven[f]
	return found
}

// Doubt takes the proof back, because a backend server died while a proven request ran.
func (s *Suspects) Doubt(f model.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.proven, f)
}

// IsSuspect reports whether a backend server was lost while the request ran.
func (s *Suspects) IsSuspect(f model.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[f].Deaths > 0
}

// Merge takes in what other entry hosts know.
func (s *Suspects) Merge(now time.Time, others []model.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, other := range others {
		e, known := s.entries[other.Fingerprint]
		if !known {
			if now.Sub(lastNews(other)) < s.Forget {
				s.put(other)
			}
			continue
		}
		merged := MergeSuspect(e, other)
		if merged.Deaths >= deathsToRefuse && merged.RefuseUntil.IsZero() {
			merged.RefuseUntil = lastNews(merged).Add(s.RefuseFor)
		}
		s.put(merged)
	}
}

// Tick renews the claims of running trials and forgets old suspects.
func (s *Suspects) Tick(now time.Time) {
	s.mu.Lock()
	var renewed []model.Suspect
	for f := range s.running {
		e := s.entries[f]
		if e.Holder != s.Name || e.HeldUntil.Sub(now) > s.TrialHold/2 {
			continue
		}
		e.HeldUntil = now.Add(s.TrialHold)
		s.put(e)
		renewed = append(renewed, e)
	}
	for f, e := range s.entries {
		if !s.running[f] && now.Sub(lastNews(e)) >= s.Forget {
			delete(s.entries, f)
		}
	}
	for f, at := range s.proven {
		if now.Sub(at) >= s.Forget {
			delete(s.proven, f)
		}
	}
	s.mu.Unlock()
	for _, e := range renewed {
		s.publish(e)
	}
}

// List returns all suspects, for the dump and for peers that have just started.
func (s *Suspects) List() []model.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]model.Suspect, 0, len(s.entries))
	for _, e := range s.entries {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b model.Suspect) int {
		return cmp.Compare(a.Fingerprint, b.Fingerprint)
	})
	return list
}

// Totals returns the counts since the start.
func (s *Suspects) Totals() SuspectTotals {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totals
}

func (s *Suspects) put(e model.Suspect) {
	if s.entries == nil {
		s.entries = make(map[model.Fingerprint]model.Suspect)
	}
	if _, known := s.entries[e.Fingerprint]; !known && len(s.entries) >= s.Limit {
		s.evict()
	}
	s.entries[e.Fingerprint] = e
}

// evict drops the suspect with the fewest deaths, the oldest of these.
func (s *Suspects) evict() {
	var victim model.Suspect
	found := false
	for f, e := range s.entries {
		if s.running[f] {
			continue
		}
		if !found || e.Deaths < victim.Deaths || e.Deaths == victim.Deaths && lastNews(e).Before(lastNews(victim)) {
			victim, found = e, true
		}
	}
	if found {
		delete(s.entries, victim.Fingerprint)
	}
}

func (s *Suspects) mark(f model.Fingerprint) {
	if s.running == nil {
		s.running = make(map[model.Fingerprint]bool)
	}
	s.running[f] = true
}

func (s *Suspects) prove(now time.Time, f model.Fingerprint) {
	if s.proven == nil {
		s.proven = make(map[model.Fingerprint]time.Time)
	}
	if len(s.proven) >= maxProven {
		clear(s.proven)
	}
	s.proven[f] = now
}

func (s *Suspects) publish(e model.Suspect) {
	if s.Publish != nil {
		s.Publish(e)
	}
}
