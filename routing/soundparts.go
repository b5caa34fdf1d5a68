package routing

import "time"

// maxSoundParts is the number of parts in each of the two generations of soundParts.
const maxSoundParts = 8192

// soundParts holds when parts of prompts were last found to be sound. The parts are kept in two generations: when the
// current one is full it replaces the earlier one, so that parts in use are never all forgotten at once.
type soundParts struct {
	current, earlier map[string]time.Time
}

// get returns the time at which a part was last found to be sound, zero if it is not known.
func (s *soundParts) get(part string) time.Time {
	if at, known := s.current[part]; known {
		return at
	}
	return s.earlier[part]
}

func (s *soundParts) set(part string, at time.Time) {
	if s.current == nil || len(s.current) >= maxSoundParts {
		s.earlier, s.current = s.current, make(map[string]time.Time)
	}
	s.current[part] = at
}

// removeBefore removes the parts that were last found to be sound before a time.
func (s *soundParts) removeBefore(at time.Time) {
	for _, generation := range []map[string]time.Time{s.current, s.earlier} {
		for part, soundAt := range generation {
			if soundAt.Before(at) {
				delete(generation, part)
			}
		}
	}
}
