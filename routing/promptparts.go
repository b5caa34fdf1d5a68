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
	// episodesToBlock is the number of crashes, episodeGap apart, from which a part is blocked, and
	// episodesToBlockSound for a part that some request has shown to be sound before.
	episodesToBlock      = 2
	episodesToBlockSound = 3
	// requestsToBlock is the number of different requests among these crashes. The copies of a single request are refused
	// as a suspect.
	requestsToBlock = 2
	maxPartCrashes  = 16   // retained crashes of a part
	maxSoundParts   = 8192 // sound parts before all are dropped
)

// PromptParts finds the parts of prompts that crash backend servers, and blocks the requests that have them. A part is
// blocked if different requests that have it crashed backend servers at different times, none of its requests has shown
// it to be sound since, and no other blocked part explains the crashes. What each entry host observes is shared with
// the others, and all of them decide from the same observations.
type PromptParts struct {
	BlockFor time.Duration                              // a part is blocked for this time after its last crash
	Limit    int                                        // maximum number of suspect parts
	Publish  func([]model.SuspectPart)                  // sends suspect parts to the other entry hosts
	Changed  func(part model.SuspectPart, blocked bool) // reports that a part is blocked or no longer blocked

	mu       sync.Mutex
	suspects map[string]model.SuspectPart
	sound    map[string]time.Time // when this entry host last found a part to be sound
	blocked  map[string]time.Time // end of the block
	tickedAt time.Time

	republishedAt map[string]time.Time // when a blocked part was last published again
}

// partChange is a part that is blocked or no longer blocked.
type partChange struct {
	part    model.SuspectPart
	blocked bool
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

// RecordCrash records that a backend server crashed right after the response to a request with these parts had begun. It
// reports whether a part is blocked since.
func (s *PromptParts) RecordCrash(now time.Time, parts []string, backend string, request model.Fingerprint) (blocked bool) {
	if len(parts) == 0 {
		return false
	}
	s.mu.Lock()
	var observed []model.SuspectPart
	for depth, part := range parts {
		p := model.SuspectPart{Part: part, Depth: depth, SoundAt: later(s.sound[part], s.suspects[part].SoundAt)}
		p.Crashes = []model.PartCrash{{Backend: backend, At: now, Request: request}}
		observed = append(observed, p)
		s.put(MergeSuspectPart(s.suspects[p.Part], p))
	}
	changes := s.evaluate(now)
	s.mu.Unlock()
	s.notify(observed, changes)
	return hasBlocked(changes)
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
		s.markSound(now, part)
		if p := s.suspects[part]; len(p.Crashes) > 0 {
			p.SoundAt, p.Crashes = now, nil
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
		before.SoundAt = later(before.SoundAt, s.sound[other.Part])
		merged := MergeSuspectPart(before, other)
		if len(merged.Crashes) == 0 && len(before.Crashes) == 0 && len(other.Crashes) == 0 {
			continue
		}
		s.put(merged)
		_, isBlocked := s.blocked[other.Part]
		changed := !slices.Equal(merged.Crashes, before.Crashes)
		if changed && (!isBlocked || len(merged.Crashes) == 0) {
			news = append(news, other)
		}
		if s.sound[other.Part].After(other.SoundAt) && len(other.Crashes) > 0 && len(merged.Crashes) == 0 {
			corrected = append(corrected, merged)
		}
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

// Tick removes suspect parts without a crash for BlockFor, and the times of sound parts of that age. It may be called more
// often than it has to look.
func (s *PromptParts) Tick(now time.Time) {
	s.mu.Lock()
	if now.Sub(s.tickedAt) < pruneInterval {
		s.mu.Unlock()
		return
	}
	s.tickedAt = now
	for part, p := range s.suspects {
		if now.Sub(later(p.SoundAt, lastPartCrash(p))) >= s.BlockFor {
			delete(s.suspects, part)
			delete(s.republishedAt, part)
		}
	}
	for part, at := range s.sound {
		if now.Sub(at) >= s.BlockFor {
			delete(s.sound, part)
		}
	}
	var changes []partChange
	for _, until := range s.blocked {
		if !now.Before(until) {
			changes = s.evaluate(now)
			break
		}
	}
	s.mu.Unlock()
	s.notify(nil, changes)
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
// requests share, the strongest suspect is blocked, and its crashes no longer count against the others.
func (s *PromptParts) evaluate(now time.Time) []partChange {
	blocked := make(map[string]time.Time)
	var explained []model.PartCrash
	for {
		p, found := s.strongest(now, blocked, explained)
		if !found {
			break
		}
		blocked[p.Part] = lastPartCrash(p).Add(s.BlockFor)
		explained = append(explained, p.Crashes...)
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
		if _, is := blocked[part]; is || len(p.Crashes) < episodesToBlock {
			continue
		}
		episodes, requests := countEpisodes(now.Add(-s.BlockFor), p.Crashes, explained)
		required := episodesToBlock
		if !p.SoundAt.IsZero() {
			required = episodesToBlockSound
		}
		if episodes < required || requests < requestsToBlock {
			continue
		}
		if !found || isStronger(p, episodes, best, bestEpisodes) {
			best, bestEpisodes, found = p, episodes, true
		}
	}
	return best, found
}

func isStronger(a model.SuspectPart, episodesA int, b model.SuspectPart, episodesB int) bool {
	if soundA, soundB := !a.SoundAt.IsZero(), !b.SoundAt.IsZero(); soundA != soundB {
		return soundB
	}
	return cmp.Or(-cmp.Compare(episodesA, episodesB), -cmp.Compare(a.Depth, b.Depth), cmp.Compare(a.Part, b.Part)) < 0
}

// countEpisodes returns the number of crashes after a time that are not explained and lie episodeGap apart, and the number
// of different requests among all that are not explained.
func countEpisodes(after time.Time, crashes, explained []model.PartCrash) (episodes, requests int) {
	var last time.Time
	seen := make(map[model.Fingerprint]bool)
	for _, c := range crashes {
		if !c.At.After(after) || slices.ContainsFunc(explained, func(e model.PartCrash) bool { return isSameCrash(c, e) }) {
			continue
		}
		seen[c.Request] = true
		if episodes == 0 || c.At.Sub(last) >= episodeGap {
			episodes, last = episodes+1, c.At
		}
	}
	return episodes, len(seen)
}

func isSameCrash(a, b model.PartCrash) bool {
	return a.Backend == b.Backend && a.At.Sub(b.At).Abs() < sameCrashWindow
}

func lastPartCrash(p model.SuspectPart) time.Time {
	if len(p.Crashes) == 0 {
		return time.Time{}
	}
	return p.Crashes[len(p.Crashes)-1].At
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
		if !found || len(p.Crashes) < len(victim.Crashes) || len(p.Crashes) == len(victim.Crashes) && lastPartCrash(p).Before(lastPartCrash(victim)) {
			victim, found = p, true
		}
	}
	if found {
		delete(s.suspects, victim.Part)
		delete(s.republishedAt, victim.Part)
	}
}

func (s *PromptParts) markSound(now time.Time, part string) {
	if s.sound == nil {
		s.sound = make(map[string]time.Time)
	}
	if len(s.sound) >= maxSoundParts {
		clear(s.sound)
	}
	s.sound[part] = now
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
