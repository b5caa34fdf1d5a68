package routing

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"citronspread/model"
)

const (
	// crashWindow is the time after the begin of its response within which a request may crash its backend server because
	// of its prompt. A response that lasts longer, or is completed, shows that the parts of its prompt are sound.
	crashWindow = time.Second
	// episodeGap is the least time between two crashes that count separately. Many backend servers may crash at the same
	// time for a reason that no request causes.
	episodeGap = time.Second
	// settleTime is the age from which a crash counts if it is weak evidence. Until then the requests that other entry hosts
	// have lost in the same crash are known, and a part that explains the crash better is blocked in its place.
	settleTime = 300 * time.Millisecond
	// maxPartCrashes is the number of retained crashes of a part, for those before and after a response had begun.
	maxPartCrashes = 16
	// maxObservedParts is the number of parts of one lost request that are recorded.
	maxObservedParts = 32
)

// evidence counts the crashes that lie episodeGap apart, the different requests that were lost in any of the crashes, and
// all crashes. A part is blocked from certain counts on. The copies of a single request are refused as a suspect.
type evidence struct{ episodes, requests, crashes int }

var (
	// begunEvidence applies to crashes after responses had begun, soundEvidence if the part was found sound before them.
	begunEvidence = evidence{episodes: 2, requests: 2}
	soundEvidence = evidence{episodes: 3, requests: 2}
	// unbegunEvidence applies if crashes before the response count as well. A backend server that crashes loses all requests
	// that run or wait there, so a part that was ever found sound is not blocked because of them.
	unbegunEvidence = evidence{episodes: 3, requests: 3}
	// massiveEvidence applies in the same way. Where a part ends all backend servers within a second, they are back, and end
	// again, at the same time too.
	massiveEvidence = evidence{episodes: 2, requests: 4, crashes: 5}
)

// PromptParts finds the parts of prompts that crash backend servers, and blocks the requests that have them. A part is
// blocked if different requests that have it were lost when backend servers crashed at different times, none of its
// requests has shown it to be sound since, and no other part explains the crashes. What each entry host observes is shared
// with the others, and all of them decide from the same observations.
type PromptParts struct {
	BlockFor time.Duration                              // a part is blocked for this time after its last crash
	Limit    int                                        // maximum number of suspect parts
	Publish  func([]model.SuspectPart)                  // sends suspect parts to the other entry hosts
	Changed  func(part model.SuspectPart, blocked bool) // reports that a part is blocked or no longer blocked

	mu       sync.Mutex
	suspects map[string]model.SuspectPart
	sound    soundParts           // when this entry host last found a part to be sound
	blocked  map[string]time.Time // end of the block
	tickedAt time.Time
	settleAt time.Time // when weak evidence counts that does not count yet, zero if there is none

	republishedAt map[string]time.Time // when a blocked part was last published again
}

// partChange is a part that is blocked or no longer blocked.
type partChange struct {
	part    model.SuspectPart
	blocked bool
}

// PartsCrash is the crash of a backend server at which a request with parts of prompts was lost.
type PartsCrash struct {
	Parts   []string
	Backend string
	Request model.Fingerprint
	Unbegun bool // no byte of the response had arrived
}

// Check returns the blocked part of a request, if it has one, and until when it is blocked. The part is published again,
// at most once each republishInterval, for entry hosts that were restarted or cut off when its crashes were published.
func (s *PromptParts) Check(now time.Time, parts []string) (part string, until time.Time, blocked bool) {
	if len(parts) == 0 {
		return "", time.Time{}, false
	}
	s.mu.Lock()
	part, blocked = s.find(now, parts)
	if !blocked {
		s.mu.Unlock()
		return "", time.Time{}, false
	}
	until = s.blocked[part]
	var published []model.SuspectPart
	if now.Sub(s.republishedAt[part]) >= republishInterval {
		s.republishedAt[part] = now
		published = append(published, s.suspects[part])
	}
	s.mu.Unlock()
	s.notify(published, nil)
	return part, until, true
}

// IsBlocked reports whether a request with these parts must not be sent now.
func (s *PromptParts) IsBlocked(now time.Time, parts []string) bool {
	if len(parts) == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, blocked := s.find(now, parts)
	return blocked
}

func (s *PromptParts) find(now time.Time, parts []string) (part string, blocked bool) {
	if len(s.blocked) == 0 {
		return "", false
	}
	for _, part := range parts {
		if now.Before(s.blocked[part]) {
			return part, true
		}
	}
	return "", false
}

// RecordCrash records that a request was lost when its backend server crashed. It reports whether a part is blocked since.
func (s *PromptParts) RecordCrash(now time.Time, crash PartsCrash) (blocked bool) {
	if len(crash.Parts) == 0 {
		return false
	}
	s.mu.Lock()
	crashes := []model.PartCrash{{Backend: crash.Backend, At: now, Request: crash.Request}}
	var observed []model.SuspectPart
	for _, p := range s.suspectsOf(crash) {
		if crash.Unbegun {
			p.Unbegun = crashes
		} else {
			p.Crashes = crashes
		}
		observed = append(observed, p)
		s.put(MergeSuspectPart(s.suspects[p.Part], p))
	}
	s.settleAt = now.Add(settleTime)
	changes := s.evaluate(now)
	s.mu.Unlock()
	s.notify(observed, changes)
	return hasBlocked(changes)
}

// suspectsOf returns the parts that may have caused a crash, without crashes, at most maxObservedParts: those that were
// never found sound first, then the deepest, because more requests share the parts before them. Crashes before a response
// are no evidence against parts that were found sound.
func (s *PromptParts) suspectsOf(crash PartsCrash) []model.SuspectPart {
	var unproven, sound []model.SuspectPart
	for depth, part := range slices.Backward(crash.Parts) {
		p := model.SuspectPart{Part: part, Depth: depth, SoundAt: later(s.sound.get(part), s.suspects[part].SoundAt)}
		switch {
		case p.SoundAt.IsZero():
			unproven = append(unproven, p)
		case !crash.Unbegun:
			sound = append(sound, p)
		}
	}
	all := append(unproven, sound...)
	return all[:min(len(all), maxObservedParts)]
}

// RecordSound records that a response to a request with these parts was completed, or has lasted longer than a part that
// crashes backend servers would let it.
func (s *PromptParts) RecordSound(now time.Time, parts []string) {
	if len(parts) == 0 {
		return
	}
	s.mu.Lock()
	var cleared []model.SuspectPart
	for _, part := range parts {
		s.sound.set(part, now)
		if p := s.suspects[part]; len(p.Crashes)+len(p.Unbegun) > 0 {
			p.SoundAt, p.Crashes, p.Unbegun = now, nil, nil
			s.put(p)
			cleared = append(cleared, p)
		}
	}
	var changes []partChange
	if len(cleared) > 0 {
		changes = s.evaluate(now)
	}
	s.mu.Unlock()
	s.notify(cleared, changes)
}

// Merge merges the suspect parts of another entry host. It returns what was news, and whole parts that are blocked since.
func (s *PromptParts) Merge(now time.Time, others []model.SuspectPart) (news []model.SuspectPart, blocked bool) {
	s.mu.Lock()
	var corrected []model.SuspectPart
	for _, other := range others {
		before := s.suspects[other.Part]
		before.Part = other.Part
		before.SoundAt = later(before.SoundAt, s.sound.get(other.Part))
		merged := MergeSuspectPart(before, other)
		if countCrashes(merged) == 0 && countCrashes(before) == 0 && countCrashes(other) == 0 {
			continue
		}
		s.put(merged)
		_, isBlocked := s.blocked[other.Part]
		changed := !slices.Equal(merged.Crashes, before.Crashes) || !slices.Equal(merged.Unbegun, before.Unbegun)
		if changed && (!isBlocked || countCrashes(merged) == 0) {
			news = append(news, other)
		}
		if s.sound.get(other.Part).After(other.SoundAt) && countCrashes(other) > 0 && countCrashes(merged) == 0 {
			corrected = append(corrected, merged)
		}
		s.settleAt = now.Add(settleTime)
	}
	changes := s.evaluate(now)
	for _, c := range changes {
		if c.blocked {
			news = append(news, c.part)
		}
	}
	s.mu.Unlock()
	s.notify(corrected, changes)
	return news, hasBlocked(changes)
}

// Tick decides anew once weak evidence counts, and removes suspect parts without a crash for BlockFor and the times of sound
// parts of that age. It may be called more often than it has to look. It reports whether a part is blocked since.
func (s *PromptParts) Tick(now time.Time) (blocked bool) {
	s.mu.Lock()
	isSettled := !s.settleAt.IsZero() && !now.Before(s.settleAt)
	isDue := now.Sub(s.tickedAt) >= pruneInterval
	if isDue {
		s.tickedAt = now
		s.prune(now)
	}
	var changes []partChange
	if isSettled {
		s.settleAt = time.Time{}
	}
	if isSettled || isDue && s.hasExpired(now) {
		changes = s.evaluate(now)
	}
	s.mu.Unlock()
	s.notify(nil, changes)
	return hasBlocked(changes)
}

func (s *PromptParts) prune(now time.Time) {
	for part, p := range s.suspects {
		if now.Sub(later(p.SoundAt, lastPartCrash(p))) >= s.BlockFor {
			delete(s.suspects, part)
			delete(s.republishedAt, part)
		}
	}
	s.sound.removeBefore(now.Add(-s.BlockFor))
}

// hasExpired reports whether the block of a part has ended.
func (s *PromptParts) hasExpired(now time.Time) bool {
	for _, until := range s.blocked {
		if !now.Before(until) {
			return true
		}
	}
	return false
}

// Blocked returns the suspect parts that are blocked now, sorted by ID.
func (s *PromptParts) Blocked(now time.Time) []model.SuspectPart {
	s.mu.Lock()
	defer s.mu.Unlock()
	var blocked []model.SuspectPart
	for part, until := range s.blocked {
		if now.Before(until) {
			blocked = append(blocked, s.suspects[part])
		}
	}
	slices.SortFunc(blocked, func(a, b model.SuspectPart) int { return cmp.Compare(a.Part, b.Part) })
	return blocked
}

// evaluate decides anew which parts are blocked and returns those for which this has changed. Of the parts that all lost
// requests share, the strongest suspect is blocked, and its crashes no longer count against the others. Those to which the
// crashes point only while another part may have caused them too are not blocked.
func (s *PromptParts) evaluate(now time.Time) []partChange {
	blocked := make(map[string]time.Time)
	var explained []model.PartCrash
	for {
		p, found := s.strongest(now, blocked, explained)
		if !found {
			break
		}
		blocked[p.Part] = lastPartCrash(p).Add(s.BlockFor)
		explained = append(explained, allCrashes(p)...)
	}
	var changes []partChange
	for part := range blocked {
		if _, was := s.blocked[part]; !was {
			changes = append(changes, partChange{part: s.suspects[part], blocked: true})
		}
	}
	for part := range s.blocked {
		if _, is := blocked[part]; !is {
			changes = append(changes, partChange{part: s.suspects[part]})
		}
	}
	s.blocked = blocked
	return changes
}

// strongest returns the part to block next: one that was never found sound before others, then the one with the most
// crashes that no blocked part explains, then the one that is deepest in the prompts, because more requests share the
// parts before it.
func (s *PromptParts) strongest(now time.Time, blocked map[string]time.Time, explained []model.PartCrash) (best model.SuspectPart, found bool) {
	bestEpisodes := 0
	for part, p := range s.suspects {
		if _, is := blocked[part]; is || countCrashes(p) < begunEvidence.episodes {
			continue
		}
		episodes, sufficient := s.weigh(now, p, explained)
		if sufficient && (!found || isStronger(p, episodes, best, bestEpisodes)) {
			best, bestEpisodes, found = p, episodes, true
		}
	}
	return best, found
}

// weigh returns the number of crashes that speak against a part and whether they suffice to block it.
func (s *PromptParts) weigh(now time.Time, p model.SuspectPart, explained []model.PartCrash) (episodes int, sufficient bool) {
	counted := timeRange{now.Add(-s.BlockFor), now}
	settled := timeRange{now.Add(-s.BlockFor), now.Add(-settleTime)}
	if !p.SoundAt.IsZero() {
		open := unexplained(settled, p.Crashes, explained)
		count := countEpisodes(open)
		return count.episodes, count.reaches(soundEvidence) && !s.hasOtherSuspect(p, open)
	}
	if count := countEpisodes(unexplained(counted, p.Crashes, explained)); count.reaches(begunEvidence) {
		return count.episodes, true
	}
	count := countEpisodes(unexplained(settled, allCrashes(p), explained))
	return count.episodes, count.reaches(unbegunEvidence) || count.reaches(massiveEvidence)
}

// hasOtherSuspect reports whether a part that was never found sound may have caused all of the crashes.
func (s *PromptParts) hasOtherSuspect(p model.SuspectPart, crashes []model.PartCrash) bool {
	for _, other := range s.suspects {
		if other.Part != p.Part && other.SoundAt.IsZero() && len(unexplained(timeRange{}, crashes, allCrashes(other))) == 0 {
			return true
		}
	}
	return false
}

func isStronger(a model.SuspectPart, episodesA int, b model.SuspectPart, episodesB int) bool {
	if soundA, soundB := !a.SoundAt.IsZero(), !b.SoundAt.IsZero(); soundA != soundB {
		return soundB
	}
	return cmp.Or(-cmp.Compare(episodesA, episodesB), -cmp.Compare(a.Depth, b.Depth), cmp.Compare(a.Part, b.Part)) < 0
}

// timeRange is the time after one time up to another. Its zero value has no bounds.
type timeRange struct{ after, to time.Time }

func (r timeRange) contains(t time.Time) bool {
	return t.After(r.after) && (r.to.IsZero() || !t.After(r.to))
}

// unexplained returns the crashes within a time that are not among those that are explained.
func unexplained(within timeRange, crashes, explained []model.PartCrash) (open []model.PartCrash) {
	for _, c := range crashes {
		if within.contains(c.At) && !slices.ContainsFunc(explained, func(e model.PartCrash) bool { return isSameCrash(c, e) }) {
			open = append(open, c)
		}
	}
	return open
}

// countEpisodes counts crashes that are in order of time.
func countEpisodes(crashes []model.PartCrash) (count evidence) {
	var last time.Time
	seen := make(map[model.Fingerprint]bool)
	for i, c := range crashes {
		seen[c.Request] = true
		if !slices.ContainsFunc(crashes[:i], func(earlier model.PartCrash) bool { return isSameCrash(earlier, c) }) {
			count.crashes++
		}
		if count.episodes == 0 || c.At.Sub(last) >= episodeGap {
			count.episodes, last = count.episodes+1, c.At
		}
	}
	count.requests = len(seen)
	return count
}

func (e evidence) reaches(least evidence) bool {
	return e.episodes >= least.episodes && e.requests >= least.requests && e.crashes >= least.crashes
}

// allCrashes returns the crashes of a part before and after responses had begun, in order of time.
func allCrashes(p model.SuspectPart) []model.PartCrash {
	all := slices.Concat(p.Crashes, p.Unbegun)
	slices.SortFunc(all, func(a, b model.PartCrash) int { return a.At.Compare(b.At) })
	return all
}

func countCrashes(p model.SuspectPart) int { return len(p.Crashes) + len(p.Unbegun) }

func isSameCrash(a, b model.PartCrash) bool {
	return a.Backend == b.Backend && a.At.Sub(b.At).Abs() < sameCrashWindow
}

func lastPartCrash(p model.SuspectPart) (last time.Time) {
	for _, crashes := range [][]model.PartCrash{p.Crashes, p.Unbegun} {
		if len(crashes) > 0 {
			last = later(last, crashes[len(crashes)-1].At)
		}
	}
	return last
}

func hasBlocked(changes []partChange) bool {
	return slices.ContainsFunc(changes, func(c partChange) bool { return c.blocked })
}

func (s *PromptParts) put(p model.SuspectPart) {
	if s.suspects == nil {
		s.suspects, s.republishedAt = make(map[string]model.SuspectPart), make(map[string]time.Time)
	}
	if _, known := s.suspects[p.Part]; !known && len(s.suspects) >= s.Limit {
		s.evict()
	}
	s.suspects[p.Part] = p
}

// evict removes the suspect part with the fewest crashes, among these the one with the oldest. Blocked parts stay.
func (s *PromptParts) evict() {
	var victim model.SuspectPart
	found := false
	for part, p := range s.suspects {
		if _, blocked := s.blocked[part]; blocked {
			continue
		}
		count, least := countCrashes(p), countCrashes(victim)
		if !found || count < least || count == least && lastPartCrash(p).Before(lastPartCrash(victim)) {
			victim, found = p, true
		}
	}
	if found {
		delete(s.suspects, victim.Part)
		delete(s.republishedAt, victim.Part)
	}
}

// notify calls Changed and Publish. The mutex must not be held.
func (s *PromptParts) notify(published []model.SuspectPart, changes []partChange) {
	if s.Changed != nil {
		for _, c := range changes {
			s.Changed(c.part, c.blocked)
		}
	}
	if s.Publish != nil && len(published) > 0 {
		s.Publish(published)
	}
}
