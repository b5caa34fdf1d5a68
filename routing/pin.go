package routing

import (
	"slices"
	"time"

	"citronspread/model"
)

// pin ties the copies of a request that has never been answered to the backend server that runs it,
// so that a request that crashes backend servers takes one with it at a time.
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

// mergeSuspects takes in what other entry hosts know and stops the copies of new suspects that run here.
func (r *Router) mergeSuspects(now time.Time, suspects []model.Suspect) {
	r.Suspects.Merge(now, suspects)
	for i := range suspects {
		p, pinned := r.pins[suspects[i].Fingerprint]
		if !pinned || !r.Suspects.IsSuspect(suspects[i].Fingerprint) {
			continue
		}
		for _, g := range p.grants {
			g.revoke()
		}
	}
}
