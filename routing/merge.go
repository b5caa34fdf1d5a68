package routing

import (
	"cmp"
	"slices"
	"time"

	"citronspread/model"
)

// sameCrashWindow is the time within which two reported crashes of a backend server count as one.
const sameCrashWindow = time.Second

// MergeSuspect merges two views of one suspect. The result does not depend on the order of merging.
func MergeSuspect(a, b model.Suspect) model.Suspect {
	merged := model.Suspect{
		Fingerprint: a.Fingerprint,
		Recent:      a.Recent || b.Recent,
		Tokens:      max(a.Tokens, b.Tokens),
		RefuseUntil: later(a.RefuseUntil, b.RefuseUntil),
		ClearedAt:   later(a.ClearedAt, b.ClearedAt),
	}
	for _, d := range mergeCrashes(a.Lost, b.Lost) {
		if d.At.After(merged.ClearedAt) {
			merged.Lost = append(merged.Lost, d)
		}
	}
	merged.Deaths = len(merged.Lost)
	claim := winningClaim(a, b)
	merged.Holder, merged.HeldUntil, merged.Epoch = claim.Holder, claim.HeldUntil, claim.Epoch
	return merged
}

// MergeSuspectPart merges two views of one suspect part. The result does not depend on the order of merging.
func MergeSuspectPart(a, b model.SuspectPart) model.SuspectPart {
	merged := model.SuspectPart{Part: cmp.Or(a.Part, b.Part), Depth: max(a.Depth, b.Depth), SoundAt: later(a.SoundAt, b.SoundAt)}
	merged.Crashes = crashesAfter(merged.SoundAt, mergePartCrashes(a.Crashes, b.Crashes))
	merged.Unbegun = crashesAfter(merged.SoundAt, mergePartCrashes(a.Unbegun, b.Unbegun))
	return merged
}

func crashesAfter(at time.Time, crashes []model.PartCrash) (later []model.PartCrash) {
	for _, c := range crashes {
		if c.At.After(at) {
			later = append(later, c)
		}
	}
	return later
}

// mergePartCrashes merges two lists of crashes in order of time. Crashes of one backend server with one request within
// sameCrashWindow count as one. Of more than maxPartCrashes those are dropped that follow another one most closely, since
// crashes at different times say more.
func mergePartCrashes(a, b []model.PartCrash) []model.PartCrash {
	all := slices.Concat(a, b)
	slices.SortFunc(all, func(x, y model.PartCrash) int {
		return cmp.Or(x.At.Compare(y.At), cmp.Compare(x.Backend, y.Backend), cmp.Compare(x.Request, y.Request))
	})
	var crashes []model.PartCrash
	for _, c := range all {
		if !slices.ContainsFunc(crashes, func(k model.PartCrash) bool { return k.Request == c.Request && isSameCrash(k, c) }) {
			crashes = append(crashes, c)
		}
	}
	for len(crashes) > maxPartCrashes {
		closest := 1
		for i := 2; i < len(crashes); i++ {
			if crashes[i].At.Sub(crashes[i-1].At) < crashes[closest].At.Sub(crashes[closest-1].At) {
				closest = i
			}
		}
		crashes = slices.Delete(crashes, closest, closest+1)
	}
	return crashes
}

// ShiftSuspectPart returns a suspect part whose times are later by an offset, see ShiftSuspect.
func ShiftSuspectPart(p model.SuspectPart, offset time.Duration) model.SuspectPart {
	p.SoundAt = shift(p.SoundAt, offset)
	p.Crashes, p.Unbegun = shiftCrashes(p.Crashes, offset), shiftCrashes(p.Unbegun, offset)
	return p
}

func shiftCrashes(crashes []model.PartCrash, offset time.Duration) []model.PartCrash {
	shifted := slices.Clone(crashes)
	for i := range shifted {
		shifted[i].At = shift(shifted[i].At, offset)
	}
	return shifted
}

// ShiftSuspect returns a suspect whose times are later by an offset: those of another entry host's clock on the own one.
func ShiftSuspect(s model.Suspect, offset time.Duration) model.Suspect {
	s.RefuseUntil, s.ClearedAt, s.HeldUntil = shift(s.RefuseUntil, offset), shift(s.ClearedAt, offset), shift(s.HeldUntil, offset)
	s.Lost = slices.Clone(s.Lost)
	for i := range s.Lost {
		s.Lost[i].At = shift(s.Lost[i].At, offset)
	}
	return s
}

// shift leaves the zero time, which means that there is none.
func shift(t time.Time, offset time.Duration) time.Time {
	if t.IsZero() {
		return t
	}
	return t.Add(offset)
}

// winningClaim returns the view whose claim wins: the one with the higher epoch, or else with the smaller holder name. A
// claim with a holder wins against none. If both have the same holder, the claim that ends later wins.
func winningClaim(a, b model.Suspect) model.Suspect {
	switch {
	case a.Epoch != b.Epoch:
		if a.Epoch > b.Epoch {
			return a
		}
		return b
	case a.Holder == b.Holder:
		if a.HeldUntil.After(b.HeldUntil) {
			return a
		}
		return b
	case a.Holder == "" || b.Holder != "" && b.Holder < a.Holder:
		return b
	default:
		return a
	}
}

// mergeCrashes merges two lists of crashes in order of time. Crashes of one backend server within sameCrashWindow count
// as one.
func mergeCrashes(a, b []model.BackendCrash) []model.BackendCrash {
	all := slices.Concat(a, b)
	slices.SortFunc(all, func(x, y model.BackendCrash) int {
		return cmp.Or(x.At.Compare(y.At), cmp.Compare(x.Backend, y.Backend))
	})
	var crashes []model.BackendCrash
	for _, d := range all {
		if !slices.ContainsFunc(crashes, func(k model.BackendCrash) bool {
			return k.Backend == d.Backend && d.At.Sub(k.At) < sameCrashWindow
		}) {
			crashes = append(crashes, d)
		}
	}
	return crashes
}

// lastChange returns the time of the last change of a suspect, or the end of its refusal if that is later.
func lastChange(e model.Suspect) time.Time {
	latest := e.ClearedAt
	for _, d := range e.Lost {
		latest = later(latest, d.At)
	}
	return later(latest, e.RefuseUntil)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
