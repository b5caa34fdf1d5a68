package routing

import (
	"slices"
	"time"

	"citronspread/model"
)

// pin restricts all copies of a request that is not proven (see Suspects.Proven) to the backend server that runs the
// first copy, so that a request that crashes backend servers crashes only one at a time.
func (r *Router) pin(g *Grant) {
	f := g.ticket.Fingerprint
	p, pinned := r.pins[f]
	if !pinned {
		if r.Suspects.Proven(f) {
			return
		}
		p.backend = g.Replica.Backend
	}
	p.grants = append(p.grants, g)
	r.pins[f] = p
}

func (r *Router) unpin(g *Grant) {
	f := g.ticket.Fingerprint
	p, pinned := r.pins[f]
	if !pinned {
		return
	}
	p.grants = slices.DeleteFunc(p.grants, func(other *Grant) bool { return other == g })
	if len(p.grants) == 0 {
		delete(r.pins, f)
		return
	}
	r.pins[f] = p
}

// MergeSuspects merges suspects outside of a snapshot, see mergeSuspects.
func (r *Router) MergeSuspects(now time.Time, suspects []model.Suspect) (news []model.Suspect) {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mergeSuspects(now, suspects)
}

// mergeSuspects merges the suspects of other entry hosts and revokes the local grants of requests that are suspects now.
// It returns the suspects that were news.
func (r *Router) mergeSuspects(now time.Time, suspects []model.Suspect) (news []model.Suspect) {
	news = r.Suspects.Merge(now, suspects)
	for i := range suspects {
		p, pinned := r.pins[suspects[i].Fingerprint]
		if !pinned || !r.Suspects.IsSuspect(suspects[i].Fingerprint) {
			continue
		}
		for _, g := range p.grants {
			g.revoke()
		}
	}
	return news
}
