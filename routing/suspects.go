package routing

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"citronspread/model"
)

const (
	crashesToRefuse = 2    // crashes from which a request is refused
	maxProven       = 4096 // proven fingerprints before all are dropped
	// republishInterval is the shortest time between two publications of a suspect that is refused.
	republishInterval = time.Second
)

// SuspectState describes whether a request may run now.
type SuspectState int

const (
	StateClear   SuspectState = iota // not a suspect
	StateRefused                     // two backend servers crashed while running it
	StateHeld                        // a copy runs as a trial, here or at another entry host
	StateClaimed                     // it may run as a trial once the other entry hosts have received the claim
)

// Verdict is the result of Suspects.Check.
type Verdict struct {
	State  SuspectState
	Until  time.Time // end of the refusal, of the other copy's claim, or of the wait for the own claim to propagate
	Recent bool      // it had started shortly before the first crash
	Tokens int       // most tokens that it had delivered at a crash
}

// SuspectTotals counts events since the entry host started.
type SuspectTotals struct {
	Deaths   int64 // crashes attributed to a request
	Trials   int64 // claims made
	Cleared  int64 // suspects that got a complete response
	Refused  int64 // requests refused
	Convicts int64 // crashes after which the request is refused
}

// Suspects holds the suspects: requests that were running on a backend server when it crashed. One entry host at a time
// claims a suspect and runs it as a trial. A complete response clears it, a second crash makes the entry hosts refuse
// it.
type Suspects struct {
	Name                  string              // name of this entry host, the holder of its claims
	RefuseFor             time.Duration       // duration of the refusal after the second crash
	ClaimPropagationDelay time.Duration       // time for a claim to reach the other entry hosts before the trial starts
	TrialClaimTTL         time.Duration       // a claim expires after this time unless it is renewed
	Retention             time.Duration       // a suspect is removed after this time without a change
	Limit                 int                 // maximum number of suspects
	Publish               func(model.Suspect) // sends a changed suspect to the other entry hosts
	Republish             func(model.Suspect) // sends a refused suspect again; nil if every entry host gets all suspects in time

	mu      sync.Mutex
	entries map[model.Fingerprint]model.Suspect
	running map[model.Fingerprint]bool      // trials of this entry host
	proven  map[model.Fingerprint]time.Time // time of the last complete response
	totals  SuspectTotals

	republishedAt map[model.Fingerprint]time.Time // when a refused suspect was last published again
}

// Check returns whether a request may run. If the request is a suspect of which no trial runs, Check claims it.
func (s *Suspects) Check(now time.Time, f model.Fingerprint) Verdict {
	s.mu.Lock()
	e, known := s.entries[f]
	if !known || e.Deaths == 0 {
		s.mu.Unlock()
		return Verdict{State: StateClear}
	}
	if e.Deaths >= crashesToRefuse && now.Before(e.RefuseUntil) {
		s.totals.Refused++
		again := s.mayRepublish(now, f)
		s.mu.Unlock()
		if again {
			s.Republish(e)
		}
		return Verdict{State: StateRefused, Until: e.RefuseUntil}
	}
	held := e.Holder != "" && now.Before(e.HeldUntil) && e.Holder != s.Name
	if held || s.running[f] {
		s.mu.Unlock()
		return Verdict{State: StateHeld, Until: e.HeldUntil}
	}
	e.Holder, e.HeldUntil = s.Name, now.Add(s.TrialClaimTTL)
	e.Epoch++
	s.put(e)
	s.markRunning(f)
	s.totals.Trials++
	s.mu.Unlock()
	s.publish(e)
	return Verdict{State: StateClaimed, Until: now.Add(s.ClaimPropagationDelay), Recent: e.Recent, Tokens: e.Tokens}
}

// mayRepublish reports whether a refused suspect is due to be published again. Entry hosts that were restarted or cut off
// in the meantime do not know it, and copies of its request may reach them too.
func (s *Suspects) mayRepublish(now time.Time, f model.Fingerprint) bool {
	if s.Republish == nil || now.Sub(s.republishedAt[f]) < republishInterval {
		return false
	}
	if s.republishedAt == nil {
		s.republishedAt = make(map[model.Fingerprint]time.Time)
	}
	s.republishedAt[f] = now
	return true
}

// Confirm reports whether the claim still holds after ClaimPropagationDelay. It drops the claim
// if another entry host has won it or the request is refused by now.
func (s *Suspects) Confirm(now time.Time, f model.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[f]
	refused := e.Deaths >= crashesToRefuse && now.Before(e.RefuseUntil)
	if s.running[f] && e.Holder == s.Name && !refused {
		return true
	}
	delete(s.running, f)
	return false
}

// Release gives up a claim whose request was not run or did not get a complete response.
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

// suspectRun is one run of a request on a backend server.
type suspectRun struct {
	fingerprint model.Fingerprint
	backend     string
	trial       bool
	recent      bool // it had started shortly before it ended
	tokens      int  // delivered to the caller, also by earlier runs
}

// recordOutcome records how a run ended. The flag possibleCause is set if it may have crashed its backend server.
func (s *Suspects) recordOutcome(now time.Time, run suspectRun, outcome Outcome, possibleCause bool) {
	switch {
	case possibleCause && s.Proven(run.fingerprint) && !run.trial:
		s.RevokeProof(run.fingerprint)
	case possibleCause:
		s.RecordCrash(now, run.fingerprint, run.backend, run.recent, run.tokens)
	case outcome == OutcomeComplete:
		s.RecordResponse(now, run.fingerprint)
	case run.trial:
		s.Release(run.fingerprint)
	}
}

// RecordCrash records that a backend server crashed while running the request, and how many tokens it had delivered.
// The flag recent is set if the request had started shortly before the crash.
func (s *Suspects) RecordCrash(now time.Time, f model.Fingerprint, backend string, recent bool, tokens int) {
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
	e.Lost = mergeCrashes(e.Lost, []model.BackendCrash{{Backend: backend, At: now}})
	e.Deaths = len(e.Lost)
	e.Tokens = max(e.Tokens, tokens)
	s.totals.Deaths++
	if e.Deaths >= crashesToRefuse {
		e.RefuseUntil = now.Add(s.RefuseFor)
		s.totals.Convicts++
	}
	s.put(e)
	s.mu.Unlock()
	s.publish(e)
}

// WithdrawCrash removes the crashes of a request up to a time, because the backend server has not crashed then.
func (s *Suspects) WithdrawCrash(f model.Fingerprint, at time.Time) {
	s.mu.Lock()
	e, known := s.entries[f]
	if !known {
		s.mu.Unlock()
		return
	}
	e.ClearedAt = later(e.ClearedAt, at)
	e.Lost = slices.DeleteFunc(slices.Clone(e.Lost), func(c model.BackendCrash) bool { return !c.At.After(e.ClearedAt) })
	e.Deaths = len(e.Lost)
	s.put(e)
	s.mu.Unlock()
	s.publish(e)
}

// RecordResponse records that the request got its complete response. This clears a suspect that ran as a trial.
func (s *Suspects) RecordResponse(now time.Time, f model.Fingerprint) {
	s.mu.Lock()
	s.markProven(now, f)
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

// Proven reports whether the request has recently got a complete response and no crash was attributed to it since.
func (s *Suspects) Proven(f model.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, found := s.proven[f]
	return found
}

// RevokeProof removes the proof, because a backend server crashed while the proven request was running.
func (s *Suspects) RevokeProof(f model.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.proven, f)
}

// IsSuspect reports whether a crash is attributed to the request.
func (s *Suspects) IsSuspect(f model.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[f].Deaths > 0
}

// Merge merges the suspects of other entry hosts and returns those that were news.
func (s *Suspects) Merge(now time.Time, others []model.Suspect) (news []model.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, other := range others {
		e, known := s.entries[other.Fingerprint]
		if !known {
			if now.Sub(lastChange(other)) < s.Retention {
				s.put(other)
				news = append(news, other)
			}
			continue
		}
		merged := MergeSuspect(e, other)
		if merged.Deaths >= crashesToRefuse && merged.RefuseUntil.IsZero() {
			merged.RefuseUntil = lastChange(merged).Add(s.RefuseFor)
		}
		s.put(merged)
		if differs(e, merged) {
			news = append(news, merged)
		}
	}
	return news
}

// differs reports whether a merge has changed a suspect by more than the delay of a message.
func differs(before, after model.Suspect) bool {
	return before.Deaths != after.Deaths || before.Epoch != after.Epoch || before.Holder != after.Holder ||
		before.RefuseUntil.IsZero() != after.RefuseUntil.IsZero() ||
		after.HeldUntil.Sub(before.HeldUntil) > sameCrashWindow || after.ClearedAt.Sub(before.ClearedAt) > sameCrashWindow
}

// Tick renews the claims of running trials and removes suspects and proofs older than Retention.
func (s *Suspects) Tick(now time.Time) {
	s.mu.Lock()
	var renewed []model.Suspect
	for f := range s.running {
		e := s.entries[f]
		if e.Holder != s.Name || e.HeldUntil.Sub(now) > s.TrialClaimTTL/2 {
			continue
		}
		e.HeldUntil = now.Add(s.TrialClaimTTL)
		s.put(e)
		renewed = append(renewed, e)
	}
	for f, e := range s.entries {
		if !s.running[f] && now.Sub(lastChange(e)) >= s.Retention {
			delete(s.entries, f)
			delete(s.republishedAt, f)
		}
	}
	for f, at := range s.proven {
		if now.Sub(at) >= s.Retention {
			delete(s.proven, f)
		}
	}
	s.mu.Unlock()
	for _, e := range renewed {
		s.publish(e)
	}
}

// Refused returns the suspects that are refused now, the latest first, at most limit.
func (s *Suspects) Refused(now time.Time, limit int) []model.Suspect {
	var refused []model.Suspect
	for _, e := range s.List() {
		if e.Deaths >= crashesToRefuse && now.Before(e.RefuseUntil) {
			refused = append(refused, e)
		}
	}
	slices.SortStableFunc(refused, func(a, b model.Suspect) int { return lastChange(b).Compare(lastChange(a)) })
	return refused[:min(len(refused), limit)]
}

// List returns all suspects, sorted by fingerprint.
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

// evict removes the suspect with the fewest crashes, among these the one with the oldest change. Running trials stay.
func (s *Suspects) evict() {
	var victim model.Suspect
	found := false
	for f, e := range s.entries {
		if s.running[f] {
			continue
		}
		if !found || e.Deaths < victim.Deaths || e.Deaths == victim.Deaths && lastChange(e).Before(lastChange(victim)) {
			victim, found = e, true
		}
	}
	if found {
		delete(s.entries, victim.Fingerprint)
		delete(s.republishedAt, victim.Fingerprint)
	}
}

func (s *Suspects) markRunning(f model.Fingerprint) {
	if s.running == nil {
		s.running = make(map[model.Fingerprint]bool)
	}
	s.running[f] = true
}

func (s *Suspects) markProven(now time.Time, f model.Fingerprint) {
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
