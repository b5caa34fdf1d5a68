package gateway

import (
	"time"

	"citronspread/model"
	"citronspread/routing"
)

// Place is a grant to send one request to one backend server. It implements attempt.Place.
type Place struct {
	Address  string
	Life     model.Life
	Priority int // for the engine, 0 (most urgent) to 9; -1 for a plain service

	grant *routing.Grant // for a model
	site  *routing.Site  // for a plain service
}

// Backend returns the name under which a failed request avoids the backend server: the address for a plain service,
// else the ID.
func (p *Place) Backend() string {
	if p.site != nil {
		return p.Address
	}
	return p.Life.ID
}

// Done reports the outcome of the attempt and releases the grant.
func (p *Place) Done(now time.Time, outcome routing.Outcome) {
	if p.site != nil {
		p.site.Done(now, outcome == routing.OutcomeWhole || outcome == routing.OutcomeRejected || outcome == routing.OutcomeAbandoned)
		return
	}
	p.grant.Done(now, outcome)
}

// Event records the delivery of an event of a stream.
func (p *Place) Event(now time.Time) {
	if p.grant != nil {
		p.grant.Token(now)
	}
}

// OnRevoke sets the function that is called when the attempt must be cancelled.
func (p *Place) OnRevoke(stop func()) {
	if p.grant != nil {
		p.grant.OnRevoke(stop)
	}
}
