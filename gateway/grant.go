package gateway

import (
	"time"

	"citronspread/model"
	"citronspread/routing"
)

// Grant is the right to send one request to one backend server. It implements attempt.Grant.
type Grant struct {
	Address     string
	Incarnation model.BackendIncarnation
	Software    string // version of the backend server's software, empty if it states none
	Priority    int    // for the engine, 0 (most urgent) to 9; -1 for a plain service

	delivered     func(now time.Time)    // called when the response was delivered completely, nil for none
	grant         *routing.Grant         // for a model
	endpointGrant *routing.EndpointGrant // for a plain service, which has no engine
}

// Backend returns how attempt.Progress.Failed identifies the backend server: by its address for a plain service, else
// by its ID.
func (g *Grant) Backend() string {
	if g.endpointGrant != nil {
		return g.Address
	}
	return g.Incarnation.ID
}

// LoadName returns the name of the backend server for the record of its load: its ID, or the address of a plain service
// without one.
func (g *Grant) LoadName() string {
	if g.Incarnation.ID != "" {
		return g.Incarnation.ID
	}
	return g.Address
}

// Done reports the outcome of the attempt and releases the grant.
func (g *Grant) Done(now time.Time, outcome routing.Outcome) {
	if outcome == routing.OutcomeComplete && g.delivered != nil {
		g.delivered(now)
	}
	if g.endpointGrant != nil {
		g.endpointGrant.Done(now, outcome)
		return
	}
	g.grant.Done(now, outcome)
}

// RecordBegin records that the response has begun.
func (g *Grant) RecordBegin(now time.Time) {
	if g.grant != nil {
		g.grant.Begin(now)
	}
}

// RecordEvent records the delivery of an event of a stream.
func (g *Grant) RecordEvent(now time.Time) {
	if g.grant != nil {
		g.grant.Token(now)
	}
}

// OnRevoke sets the function that is called when the attempt must be cancelled.
func (g *Grant) OnRevoke(stop func()) {
	if g.grant != nil {
		g.grant.OnRevoke(stop)
	}
}
