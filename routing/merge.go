package routing

import (
	"cmp"
	"slices"
	"time"

	"citronspread/model"
)

// sameDeath is the time within which two reports of one backend server are one death.
const sameDeath = time.Second

// MergeSuspect joins two views of one suspect. The order of merging does not matter.
func MergeSuspect(a, b model.Suspect) model.Suspect {
	merged := model.Suspect{
		Fingerprint: a.Fingerprint,
		Recent:      a.Recent || b.Recent,
		Tokens:      max(a.Tokens, b.Tokens),
		RefuseUntil: later(a.RefuseUntil, b.RefuseUntil),
		ClearedAt:   later(a.ClearedAt, b.ClearedAt),
	}
	for _, d := range mergeDeaths(a.Lost, b.Lost) {
		if d.At.After(merged.ClearedAt) {
			merged.Lost = append(merged.Lost, d)
		}
	}
	merged.Deaths = len(merged.Lost)
	winner := holderOf(a, b)
	merged.Holder, merged.HeldUntil, merged.Epoch = winner.Holder, winner.HeldUntil, winner.Epoch
	return merged
}

// holderOf returns the view whose claim counts: the higher epoch, else the smaller name.
func holderOf(a, b model.Suspect) model.Suspect {
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

// mergeDeaths joins two sorted lists; reports of one backend server that lie close are one death.
func mergeDeaths(a, b []model.Death) []model.Death {
	all := slices.Concat(a, b)
	slices.SortFunc(all, func(x, y model.Death) int {
		return cmp.Or(x.At.Compare(y.At), cmp.Compare(x.Backend, y.Backend))
	})
	var kept []model.Death
	for _, d := range all {
		if !slices.ContainsFunc(kept, func(k model.Death) bool {
			return k.Backend == d.Backend && d.At.Sub(k.At) < sameDeath
		}) {
			kept = append(kept, d)
		}
	}
	return kept
}

func lastNews(e model.Suspect) time.Time {
	news := e.ClearedAt
	for _, d := range e.Lost {
		news = later(news, d.At)
	}
	return later(news, e.RefuseUntil)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
