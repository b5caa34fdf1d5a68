package routing

import (
	"slices"
	"time"

	"citronspread/model"
)

const (
	historySlots    = 32
	historyInterval = 100 * time.Millisecond
	maxFailures     = 3
	maxOverloads    = 5
	missingPause    = 250 * time.Millisecond
)

// backend is what this router knows of a backend server by itself.
type backend struct {
	own         int // requests of this router that are running there
	ownLong     int
	shortRun    int // short grants since the last long one while long work waited
	others      int // requests of other routers, from the last report
	total       int // all requests, from the last report
	reportedAt  time.Time
	pausedUntil time.Time
	failures    int                  // in a row, without a token between them
	overloads   int                  // likewise
	missing     map[Target]time.Time // the engine said not loaded, against a report of that time
	observed    observed
	trials      int // suspects that run there
	trialsPrime int // of these, the ones that had begun shortly before a death
	blamedAt    time.Time

	history [historySlots]int // own, one sample for each interval
	sampled int64
}

// fleet holds the backend servers by name.
type fleet struct {
	backends map[string]*backend
}

func (f *fleet) get(name string) *backend {
	b := f.backends[name]
	if b == nil {
		if f.backends == nil {
			f.backends = make(map[string]*backend)
		}
		b = &backend{missing: make(map[Target]time.Time)}
		f.backends[name] = b
	}
	return b
}

// sample remembers the own load, to be compared with late reports.
func (f *fleet) sample(now time.Time) {
	slot := now.UnixNano() / int64(historyInterval)
	for _, b := range f.backends {
		b.record(slot)
	}
}

// reported takes in the reports of a new snapshot.
func (f *fleet) reported(snapshot *model.Snapshot) {
	seen := make(map[string]bool)
	for i := range snapshot.Models {
		for j := range snapshot.Models[i].Replicas {
			replica := &snapshot.Models[i].Replicas[j]
			seen[replica.Backend] = true
			f.get(replica.Backend).report(replica)
		}
	}
	for name, b := range f.backends {
		if !seen[name] && b.own == 0 {
			delete(f.backends, name)
		}
	}
}

func (b *backend) record(slot int64) {
	from := max(b.sampled+1, slot-historySlots+1)
	for s := from; s <= slot; s++ {
		b.history[s%historySlots] = b.own
	}
	b.sampled = max(b.sampled, slot)
}

// ownBefore returns the highest own load in the time before, as far as it is remembered.
func (b *backend) ownBefore(at time.Time) int {
	slot := at.UnixNano() / int64(historyInterval)
	if slot >= b.sampled {
		return max(b.own, slices.Max(b.history[:]))
	}
	most := 0
	for s := b.sampled - historySlots + 1; s <= slot; s++ {
		most = max(most, b.history[(s%historySlots+historySlots)%historySlots])
	}
	return most
}

// report subtracts the own share from a late report. How late it is is not known exactly, so that
// the highest own load that may be in it is taken off; engines refuse what is too much.
func (b *backend) report(replica *model.Replica) {
	if !replica.UpdatedAt.After(b.reportedAt) {
		return
	}
	b.reportedAt = replica.UpdatedAt
	b.total = replica.Running + replica.Waiting
	b.others = max(0, replica.Running+replica.Waiting-b.ownBefore(replica.UpdatedAt))
}

// isMissing reports whether the engine denied the target just now or after the replica's report.
func (b *backend) isMissing(now time.Time, target Target, replica *model.Replica) bool {
	at, denied := b.missing[target]
	return denied && (now.Sub(at) < missingPause || !replica.UpdatedAt.After(at))
}

// holds reports whether the replica can run the target at all.
func holds(replica *model.Replica, target Target) bool {
	return target.Adapter == "" || slices.Contains(replica.Adapters, target.Adapter)
}

// fail pauses the backend server, longer after each failure in a row.
func (b *backend) fail(now time.Time, pause time.Duration) {
	b.failures = min(b.failures+1, maxFailures)
	b.pausedUntil = now.Add(pause * time.Duration(b.failures))
}

// refuse pauses the backend server after it said overloaded, twice as long after each in a row.
func (b *backend) refuse(now time.Time, pause time.Duration) {
	b.pausedUntil = now.Add(pause << b.overloads)
	b.overloads = min(b.overloads+1, maxOverloads)
}

// isSilent reports whether no stream of this router has brought a token for a while.
func (b *backend) isSilent(now time.Time, silence time.Duration) bool {
	return now.Sub(b.observed.last) >= silence
}
