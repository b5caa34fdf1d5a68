package entryhost

import (
	"math/rand/v2"
	"time"

	"citronspread/caller"
	"citronspread/routing"
)

// Times of what is known about suspects.
const (
	refuseSuspectFor   = 10 * time.Minute
	suspectTrialDelay  = 400 * time.Millisecond
	suspectTrialHold   = 10 * time.Second
	suspectForgetAfter = 15 * time.Minute
	suspectLimit       = 10_000
)

// Retries, hedges and resumptions are bounded by a share of the recent requests.
const (
	retryShare = 0.1
	retryFloor = 10 // retries that are always allowed in one window
)

// Traffic holds the settings of the traffic threads.
type Traffic struct {
	Limits      caller.Limits
	Policy      routing.Policy
	Picker      routing.Picker
	Connections int // of callers at once
	HeaderBytes int
	HeaderTime  time.Duration
	DialTimeout time.Duration
	BalancerLag time.Duration
	Shutdown    time.Duration // the longest graceful shutdown
}

func (t Traffic) newRouter(h *Host) *routing.Router {
	return &routing.Router{
		Name:   h.Name,
		Zone:   h.Zone,
		Policy: t.Policy,
		Picker: t.Picker,
		Waker:  h,
		Budget: &routing.Budget{Share: retryShare, Floor: retryFloor},
		Suspects: &routing.Suspects{
			Name:       h.Name,
			RefuseFor:  refuseSuspectFor,
			TrialDelay: suspectTrialDelay,
			TrialHold:  suspectTrialHold,
			Forget:     suspectForgetAfter,
			Limit:      suspectLimit,
			Publish:    h.publishSuspect,
		},
		Snapshot: &h.snapshot,
		Now:      time.Now,
		Seed:     rand.Uint64(),
	}
}
