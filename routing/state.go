package routing

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// shareStates bounds the workspaces whose counters are shown.
const shareStates = 16

// State is the state of a router for the state dump.
type State struct {
	Queue    Counts
	Waiting  int
	Lines    []TargetQueueState // sorted by target
	Backends []BackendState
	Limits   []LimitState     // of the backend servers that have stated a limit
	Stated   []StatementState // of the backend servers that are leaving or in back-off
	Shares   []ShareState     // of the workspaces that were served most
	Budget   BudgetTotals
	Suspects SuspectTotals
}

// TargetQueueState describes the waiting requests for one target.
type TargetQueueState struct {
	Target    Target
	Short     int
	Long      int
	OldestFor time.Duration // wait of the oldest request
}

// BackendState is the router's own view of a backend server.
type BackendState struct {
	Backend     string
	Running     int
	RunningLong int
	Others      int
	Known       float64       // requests of other routers, see Router.loadView
	KnownAge    time.Duration // of Known
	Tokens      int           // of Running
	Slowness    float64       // as stated, 1 is normal
	Full        bool          // refused a request and nothing has changed since
	Failures    int
	PausedFor   time.Duration
	FirstToken  time.Duration
	TokenGap    time.Duration
}

// ShareState is the counter of a workspace.
type ShareState struct {
	Workspace string
	Counter   float64 // service, see fairshare.Counters
}

// LimitState describes the limit of a backend server and this host's allowance.
type LimitState struct {
	Backend   string
	PerSecond float64       // for all entry hosts together
	StatedFor time.Duration // since the backend server last stated it
	Sendable  int           // requests that this host may send now
	NextIn    time.Duration // until this host expects to send the next one
}

func (r *Router) State(now time.Time) State {
	r.once.Do(r.init)
	r.mu.Lock()
	defer r.mu.Unlock()
	state := State{Queue: r.queue.Counts, Waiting: r.queue.Len(), Budget: r.Budget.Totals(), Suspects: r.Suspects.Totals()}
	for _, targetQueue := range r.queue.targets {
		state.Lines = append(state.Lines, TargetQueueState{
			Target: targetQueue.Target, Short: targetQueue.ByClass[Short].Len(), Long: targetQueue.ByClass[Long].Len(), OldestFor: now.Sub(targetQueue.oldest()),
		})
	}
	slices.SortFunc(state.Lines, func(a, b TargetQueueState) int {
		return cmp.Or(cmp.Compare(a.Target.Key.String(), b.Target.Key.String()), cmp.Compare(a.Target.Adapter, b.Target.Adapter), cmp.Compare(a.Target.Software, b.Target.Software))
	})
	for _, name := range slices.Sorted(maps.Keys(r.fleet.backends)) {
		s, v := r.fleet.backends[name].state(now, name), r.loadView(now, name)
		s.Known, s.KnownAge, s.Slowness = v.others, v.age, v.slowness
		s.Full = r.isFull(now, &r.fleet.backends[name].full, name, r.fleet.backends[name].capacity)
		state.Backends = append(state.Backends, s)
	}
	for _, name := range slices.Sorted(maps.Keys(r.stated.allowances)) {
		a := r.stated.allowances[name]
		at, _ := a.NextAt(now)
		state.Limits = append(state.Limits, LimitState{
			Backend: name, PerSecond: a.PerSecond, StatedFor: now.Sub(a.StatedAt), Sendable: a.Sendable(now), NextIn: max(0, at.Sub(now)),
		})
	}
	state.Stated = r.statementStates(now)
	for _, share := range r.queue.Shares.Busiest(now, shareStates) {
		state.Shares = append(state.Shares, ShareState{Workspace: share.Workspace, Counter: share.Service})
	}
	return state
}

func (b *backend) state(now time.Time, name string) BackendState {
	return BackendState{
		Backend:     name,
		Running:     b.ownRequests,
		RunningLong: b.ownLongRequests,
		Tokens:      b.ownTokens,
		Others:      b.otherRequests,
		Failures:    b.failures,
		PausedFor:   max(0, b.pausedUntil.Sub(now)),
		FirstToken:  time.Duration(b.observed.timeToFirstToken.value * float64(time.Second)),
		TokenGap:    time.Duration(b.observed.tokenGap.value * float64(time.Second)),
	}
}
