package gateway

import (
	"time"

	"citronspread/model"
	"citronspread/routing"
)

// Place is the right to send a request to one backend server. It implements attempt.Place.
type Place struct {
	Address  string
	Life     model.Life
	Priority int // for the engine, 0 first to 9; -1 where there is none

	grant *routing.Grant // for a model
	site  *routing.Site  // for a plain service
}

// Backend returns what a failed request avoids.
func (p *Place) Backend() string {
	if p.site != nil {
		return p.Address
	}
	return p.Life.ID
}

// Done ends the attempt.
func (p *Place) Done(now time.Time, outcome routing.Outcome) {
	if p.site != nil {
		p.site.Done(now, outcome == routing.OutcomeWhole || outcome == routing.OutcomeRejected || outcome == routing.OutcomeAbandoned)
		return
	}
	p.grant.Done(now, outcome)
}

// Event notes a delivered event of a stream.
func (p *Place) Event(now time.Time) {
	if p.grant != nil {
		p.grant.Token(now)
	}
}

// OnRevoke sets what is called when the attempt must be given up.
func (p *Place) OnRevoke(stop func()) {
	if p.grant != nil {
		p.grant.OnRevoke(stop)
	}
}
