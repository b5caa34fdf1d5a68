package caller

import "sync/atomic"

// Totals counts requests and their outcomes since the start of the process.
type Totals struct {
	Requests  atomic.Int64
	Refused   atomic.Int64 // certainly not run
	MaybeRun  atomic.Int64 // failed, ran or may have run
	Completed atomic.Int64
	Resumed   atomic.Int64
	Retried   atomic.Int64
	Moved     atomic.Int64 // attempts cancelled in favor of a faster replica
	CutShort  atomic.Int64 // streams that ended with an error event
	Replayed  atomic.Int64 // responses replayed from a claim

	Unauthorized atomic.Int64 // refused for want of a workspace's key, also counted as Refused
}

// State is a copy of the counters for the debug dump and the metrics.
type State struct {
	Open      int64
	Draining  bool
	Requests  int64
	Refused   int64
	MaybeRun  int64
	Completed int64
	Resumed   int64
	Retried   int64
	Moved     int64
	CutShort  int64
	Replayed  int64

	Unauthorized  int64
	Workspaces    int
	WorkspaceKeys int
}

// State returns the current counters.
func (s *Server) State() State {
	t := &s.Totals
	return State{
		Open:      s.open.Load(),
		Draining:  s.draining.Load(),
		Requests:  t.Requests.Load(),
		Refused:   t.Refused.Load(),
		MaybeRun:  t.MaybeRun.Load(),
		Completed: t.Completed.Load(),
		Resumed:   t.Resumed.Load(),
		Retried:   t.Retried.Load(),
		Moved:     t.Moved.Load(),
		CutShort:  t.CutShort.Load(),
		Replayed:  t.Replayed.Load(),

		Unauthorized:  t.Unauthorized.Load(),
		Workspaces:    len(s.Workspaces.Workspaces()),
		WorkspaceKeys: s.Workspaces.KeyCount(),
	}
}
