package routing

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// State is what a router knows, for the dump.
type State struct {
	Queue    Counts
	Waiting  int
	Lines    []LineState
	Backends []BackendState
	Budget   BudgetTotals
	Suspects SuspectTotals
}

// LineState is the state of one line of waiting requests.
type LineState struct {
	Target    Target
	Short     int
	Long      int
	OldestFor time.Duration
}

// BackendState is what the router itself knows of a backend server.
type BackendState struct {
	Backend     string
	Running     int
	RunningLong int
	Others      int
	Failures    int
	PausedFor   time.Duration
	FirstToken  time.Duration
	TokenGap    time.Duration
}

// State returns what the router knows.
func (r *Router) State(now time.Time) State {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	state := State{Queue: r.queue.Counts, Waiting: r.queue.Len(), Budget: r.Budget.Totals(), Suspects: r.Suspects.Totals()}
	for _, line := range r.queue.lines {
		state.Lines = append(state.Lines, LineState{
			Target: line.Target, Short: len(line.Lanes[Short]), Long: len(line.Lanes[Long]), OldestFor: now.Sub(line.oldest()),
		})
	}
	slices.SortFunc(state.Lines, func(a, b LineState) int {
		return cmp.Or(cmp.Compare(a.Target.Key.String(), b.Target.Key.String()), cmp.Compare(a.Target.Adapter, b.Target.Adapter))
	})
	for _, name := range slices.Sorted(maps.Keys(r.fleet.backends)) {
		state.Backends = append(state.Backends, r.fleet.backends[name].state(now, name))
	}
	return state
}

func (b *backend) state(now time.Time, name string) BackendState {
	return BackendState{
		Backend:     name,
		Running:     b.own,
		RunningLong: b.ownLong,
		Others:      b.others,
		Failures:    b.failures,
		PausedFor:   max(0, b.pausedUntil.Sub(now)),
		FirstToken:  time.Duration(b.observed.first.value * float64(time.Second)),
		TokenGap:    time.Duration(b.observed.gap.value * float64(time.Second)),
	}
}
