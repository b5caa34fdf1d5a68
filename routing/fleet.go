package routing

import (
	"slices"
	"time"

	"citronspread/model"
)

const (
	loadHistorySlots    = 32
	loadHistoryInterval = 100 * time.Millisecond
	maxFailures         = 3                      // failures in a row up to which the pause grows
	notLoadedPause      = 250 * time.Millisecond // minimum pause of a target that the engine has not loaded
	pruneInterval       = time.Second            // shortest time between two prunes of the fleet
)

// backend is this router's own view of a backend server, with the figures of the last report.
type backend struct {
	name            string
	ownRequests     int // running requests of this router
	ownLongRequests int // of these, long ones
	ownTokens       int // of their prompts and longest possible answers
	capacity        int // of the replica that was last considered, 0 before
	shortStreak     int // short grants since the last long one while long requests waited
	otherRequests   int // requests of other routers, from the last report
	totalRequests   int // all requests, from the last report
	reportedAt      time.Time
	pausedUntil     time.Time
	failures        int // in a row, reset by a token
	full            fullState
	notLoadedAt     map[Target]time.Time // when the engine last responded that a target is not loaded
	observed        observed
	trials          int       // running trials of suspects
	recentTrials    int       // of these, suspects that had started shortly before the crash
	trialCrashAt    time.Time // when a crash was last attributed to a trial

	loadHistory [loadHistorySlots]int // samples of ownRequests, one for each loadHistoryInterval
	lastSlot    int64                 // slot of the last sample, counted in loadHistoryIntervals since 1970
}

// fleet holds the backend servers by name.
type fleet struct {
	backends map[string]*backend
	prunedAt time.Time
}

func (f *fleet) get(name string) *backend {
	b := f.backends[name]
	if b == nil {
		if f.backends == nil {
			f.backends = make(map[string]*backend)
		}
		b = &backend{name: name, notLoadedAt: make(map[Target]time.Time)}
		f.backends[name] = b
	}
	return b
}

// sample records this router's load on each backend server. Reports arrive late and are compared with it.
func (f *fleet) sample(now time.Time) {
	slot := now.UnixNano() / int64(loadHistoryInterval)
	for _, b := range f.backends {
		b.recordLoad(slot)
	}
}

// applyReports applies the reports of a new snapshot. Models that it shares with the previous one have no new reports.
func (f *fleet) applyReports(snapshot, previous *model.Snapshot) {
	for i, m := range snapshot.Models {
		if previous != nil && i < len(previous.Models) && previous.Models[i] == m {
			continue
		}
		for j := range m.Replicas {
			f.get(m.Replicas[j].Backend).applyReport(&m.Replicas[j])
		}
	}
}

// prune removes the backend servers that the snapshot does not list, unless they are full or paused.
func (f *fleet) prune(now time.Time, snapshot *model.Snapshot) {
	f.prunedAt = now
	seen := make(map[string]bool)
	for _, m := range snapshot.Models {
		for i := range m.Replicas {
			seen[m.Replicas[i].Backend] = true
		}
	}
	for name, b := range f.backends {
		if !seen[name] && b.ownRequests == 0 && !now.Before(b.pausedUntil) && !now.Before(b.full.until) {
			delete(f.backends, name)
		}
	}
}

func (b *backend) recordLoad(slot int64) {
	from := max(b.lastSlot+1, slot-loadHistorySlots+1)
	for s := from; s <= slot; s++ {
		b.loadHistory[s%loadHistorySlots] = b.ownRequests
	}
	b.lastSlot = max(b.lastSlot, slot)
}

// maxOwnUpTo returns the highest recorded load of this router up to the given time. The history covers 3.2 s.
func (b *backend) maxOwnUpTo(at time.Time) int {
	slot := at.UnixNano() / int64(loadHistoryInterval)
	if slot >= b.lastSlot {
		return max(b.ownRequests, slices.Max(b.loadHistory[:]))
	}
	highest := 0
	for s := b.lastSlot - loadHistorySlots + 1; s <= slot; s++ {
		highest = max(highest, b.loadHistory[(s%loadHistorySlots+loadHistorySlots)%loadHistorySlots])
	}
	return highest
}

// ownUpTo returns the recorded load of this router at an earlier time, at most 3.2 s ago.
func (b *backend) ownUpTo(at time.Time) int {
	slot := at.UnixNano() / int64(loadHistoryInterval)
	if slot > b.lastSlot || b.lastSlot == 0 {
		return b.ownRequests
	}
	slot = max(slot, b.lastSlot-loadHistorySlots+1)
	return b.loadHistory[(slot%loadHistorySlots+loadHistorySlots)%loadHistorySlots]
}

// applyReport derives the load of other routers from a report. The delay of the report is not known exactly, so the
// highest load of this router that it may include is subtracted. This may underestimate the load of the other routers;
// engines refuse requests beyond their capacity.
func (b *backend) applyReport(replica *model.Replica) {
	if !replica.UpdatedAt.After(b.reportedAt) {
		return
	}
	b.reportedAt = replica.UpdatedAt
	b.totalRequests = replica.Running + replica.Waiting
	b.otherRequests = max(0, replica.Running+replica.Waiting-b.maxOwnUpTo(replica.UpdatedAt))
}

// isNotLoaded reports whether the engine responded within notLoadedPause, or after the replica's report,
// that the target is not loaded.
func (b *backend) isNotLoaded(now time.Time, target Target, replica *model.Replica) bool {
	at, recorded := b.notLoadedAt[target]
	return recorded && (now.Sub(at) < notLoadedPause || !replica.UpdatedAt.After(at))
}

// supports reports whether the replica has the target's adapter loaded and runs its software version, if the target has one.
func supports(replica *model.Replica, target Target) bool {
	if target.Software != "" && replica.Software != target.Software {
		return false
	}
	return target.Adapter == "" || slices.Contains(replica.Adapters, target.Adapter)
}

// pauseAfterFailure pauses the backend server for the given time, multiplied by the number of failures in a row
// up to maxFailures.
func (b *backend) pauseAfterFailure(now time.Time, pause time.Duration) {
	b.failures = min(b.failures+1, maxFailures)
	b.pausedUntil = now.Add(pause * time.Duration(b.failures))
}

// isSilent reports whether no stream of this router has received a token for the given time.
func (b *backend) isSilent(now time.Time, silence time.Duration) bool {
	return now.Sub(b.observed.lastTokenAt) >= silence
}
