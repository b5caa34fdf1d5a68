package entryhost

import (
	"math/rand/v2"
	"time"

	"citronspread/caller"
	"citronspread/routing"
)

// Parameters of the handling of suspects.
const (
	refuseSuspectFor             = 10 * time.Minute
	suspectClaimPropagationDelay = 400 * time.Millisecond
	suspectTrialClaimTTL         = 10 * time.Second
	suspectRetention             = 15 * time.Minute
	suspectLimit                 = 10_000
)

// Retries, hedges and resumptions are limited to a share of the recent requests.
const (
	retryShare = 0.1
	retryFloor = 10 // allowed in each window regardless of the number of requests
)

// Traffic holds the settings for serving requests.
type Traffic struct {
	Limits          caller.Limits
	Policy          routing.Policy
	Picker          routing.Picker
	MaxConnections  int // concurrent connections of callers
	MaxHeaderBytes  int
	HeaderTimeout   time.Duration
	DialTimeout     time.Duration // for connections to backend servers
	BalancerLag     time.Duration // time in which load balancers stop sending requests to a host that is not ready
	ShutdownTimeout time.Duration // maximum duration of a graceful shutdown
}

func (t Traffic) newRouter(h *Host) *routing.Router {
	return &routing.Router{
		Name:           h.Name,
		Zone:           h.Zone,
		Policy:         t.Policy,
		Picker:         t.Picker,
		DemandReporter: h,
		Budget:         &routing.Budget{Share: retryShare, Floor: retryFloor},
		Suspects: &routing.Suspects{
			Name:                  h.Name,
			RefuseFor:             refuseSuspectFor,
			ClaimPropagationDelay: suspectClaimPropagationDelay,
			TrialClaimTTL:         suspectTrialClaimTTL,
			Retention:             suspectRetention,
			Limit:                 suspectLimit,
			Publish:               h.publishSuspect,
		},
		Snapshot: &h.snapshot,
		Now:      time.Now,
		Seed:     rand.Uint64(),
	}
}
