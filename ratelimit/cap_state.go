package ratelimit

import (
	"maps"
	"slices"
	"time"
)

// CapState is what gauges show of a Desk.
type CapState struct {
	Capped    int   // workspaces
	Granted   int64 // tokens, or requests if the cap counts these
	Refused   int64
	OwnShares int // zones on their own share: workspaces for which this host is the allotter and reaches no pool
}

// ShareState describes the part of this host in dividing the cap of a workspace.
type ShareState struct {
	Workspace string
	Cap       Cap
	MayUse    bool    // this host may use the share of its zone
	LentTo    string  // peer address of the leader that has the share, empty if it is not lent
	Level     float64 // of the share, negative for a debt
	Amounts   int     // from a pool
	Alone     bool    // no pool is reached
	Pooled    int     // zones whose shares this host has as the leader of the pool
	PoolLevel float64
	Waiting   int // requests of callers that wait at this host for their tokens
}

// Shares returns the state of the workspaces that are in use, sorted by name.
func (d *Desk) Shares(now time.Time) []ShareState {
	byName := make(map[string]ShareState)
	for workspace, a := range d.accounts {
		byName[workspace] = ShareState{Waiting: len(a.waiters)}
	}
	for workspace, s := range d.shares {
		state := byName[workspace]
		s.refill(now)
		state.MayUse, state.Level, state.Amounts, state.Alone = s.mayUse, s.own.level, s.amounts.total(now), s.isAlone
		if s.IsLent(now) {
			state.LentTo = s.lentTo
		}
		byName[workspace] = state
	}
	for workspace, p := range d.pools {
		state := byName[workspace]
		p.refill(now)
		state.Pooled, state.PoolLevel = p.Zones(now), p.level
		byName[workspace] = state
	}
	states := make([]ShareState, 0, len(byName))
	for _, workspace := range slices.Sorted(maps.Keys(byName)) {
		state := byName[workspace]
		state.Workspace, state.Cap = workspace, d.caps[workspace]
		states = append(states, state)
	}
	return states
}

// State returns what gauges show.
func (d *Desk) State() CapState {
	s := CapState{Capped: len(d.caps), Granted: d.granted, Refused: d.refused}
	for _, share := range d.shares {
		if share.isAlone {
			s.OwnShares++
		}
	}
	return s
}
