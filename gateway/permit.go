package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"go.uber.org/zap"

	"citronspread/model"
	"citronspread/store"
)

const (
	permitPrefix = "citronspread/permit/"
	// permitPause follows each attempt to acquire a permit. It is watchDelay and a margin, so that the outcome has
	// arrived through the watch before the next attempt.
	permitPause = 700 * time.Millisecond
	// maxPermitPause bounds the pause, which grows fourfold with each attempt in a row that another host has won.
	maxPermitPause = 16 * permitPause
	// permitUsableFor is how long after it was acquired a permit may be used to start a load.
	permitUsableFor = 500 * time.Millisecond
	// permitMargin is added to WeightLoadWindow in the lease of a permit, for a load that starts late.
	permitMargin = 500 * time.Millisecond
)

// permits limits loads from the weight store over all entry hosts. A permit is the right to start one load. There is
// a fixed number of permit keys, each acquired under a lease that outlasts WeightLoadWindow, so that no window
// contains more than two loads per key.
type permits struct {
	requesting    bool
	nextRequestAt time.Time
	pause         time.Duration // upper bound of the delay before the next attempt; 0 before the first one
	noneFree      bool          // no permit was free when one was last wanted
	available     int           // acquired and not used yet
	usableUntil   time.Time
	taken         map[string]bool // keys held by any host, as of the last update from the store
	carried       map[string]bool // keys that were held when the store was restored, which may have lost them
	carriedUntil  time.Time
}

// carry keeps the permits that are held now as held until the time.
func (p *permits) carry(until time.Time) { p.carried, p.carriedUntil = p.taken, until }

// free returns one of count permit keys that no host holds, a random one so that not all hosts try the same.
func (p *permits) free(now time.Time, count int) (key string, found bool) {
	for _, i := range rand.Perm(count) {
		key = permitPrefix + strconv.Itoa(i)
		if isCarried := p.carried[key] && now.Before(p.carriedUntil); !p.taken[key] && !isCarried {
			return key, true
		}
	}
	return "", false
}

// schedule sets the time of the next attempt. The more hosts want a permit, the less often each of them tries.
func (p *permits) schedule(now time.Time, acquired bool) {
	p.nextRequestAt = now.Add(permitPause)
	if acquired {
		p.pause = max(p.pause/2, permitPause)
		return
	}
	p.pause = min(4*max(p.pause, permitPause), maxPermitPause)
}

// delay delays the attempt on a permit that has just become free by a random time. Most of the hosts that lost the last
// attempts then see it taken by another one.
func (p *permits) delay(now time.Time) {
	p.noneFree = false
	if p.pause > permitPause {
		p.nextRequestAt = now.Add(rand.N(p.pause))
	}
}

// wait returns the expected time until this host may start a load.
func (p *permits) wait(now time.Time) time.Duration {
	if p.ready(now) {
		return 0
	}
	wait := max(0, p.nextRequestAt.Sub(now))
	if p.pause > permitPause {
		wait += p.pause / 2 // the mean of what delay draws
	}
	return wait
}

// ready reports whether an acquired permit may be used now.
func (p *permits) ready(now time.Time) bool { return p.available > 0 && now.Before(p.usableUntil) }

func (p *permits) consume() { p.available-- }

// permitCount returns the number of permit keys.
func (h *Host) permitCount(spec *model.EngineSpec) int {
	const loadsPerKey = 2 // in one window
	ceiling := spec.LoadsPerSecond*h.WeightLoadWindow.Seconds()*h.WeightLoadOverage + 3
	return max(1, min(h.MaxWeightLoads, int(ceiling)/loadsPerKey))
}

// permitTTL returns the TTL of a permit for a load that takes no longer.
func (h *Host) permitTTL() time.Duration { return h.WeightLoadWindow + permitMargin }

// requestPermit acquires a free permit in the background unless one is ready or requested.
func (h *Host) requestPermit(now time.Time, spec *model.EngineSpec) {
	if h.permits.requesting || now.Before(h.permits.nextRequestAt) || h.permits.ready(now) {
		return
	}
	key, found := h.permits.free(now, h.permitCount(spec))
	if !found {
		h.permits.noneFree = true
		return
	}
	if h.permits.noneFree {
		h.permits.delay(now)
		return
	}
	h.permits.requesting = true
	ttl := h.permitTTL()
	for _, m := range spec.Models {
		ttl = max(ttl, m.ColdLoad)
	}
	h.spawn(func(ctx context.Context) {
		err := h.acquirePermit(ctx, key, ttl)
		h.post(func(now time.Time) {
			h.permits.requesting = false
			h.permits.schedule(now, err == nil)
			if err != nil {
				h.enterEraOf(now, err)
				var conflict *store.ConflictError
				if errors.As(err, &conflict) {
					h.permits.taken[key] = true // the watch reports it later
				}
				h.Log.Info("load permit not acquired", zap.String("Key", key), zap.Duration("Pause", h.permits.pause), zap.Error(err))
				return
			}
			h.permits.taken[key] = true
			h.permits.available, h.permits.usableUntil = 1, now.Add(permitUsableFor)
		})
	})
}

// acquirePermit acquires a permit that is free in this host's view. It returns a *store.ConflictError if another
// host holds the permit.
func (h *Host) acquirePermit(ctx context.Context, key string, ttl time.Duration) error {
	h.Metrics.CountStoreCall("lease", "permit")
	lease, err := h.Store.GrantLease(ctx, ttl)
	if err != nil {
		return err
	}
	h.Metrics.CountStoreCall("transaction", "permit")
	_, err = h.Store.Commit(ctx, store.Transaction{
		Expected: []store.Entry{{Key: key}},
		Writes:   []store.Write{{Key: key, Value: []byte(h.Name), Lease: lease}},
	})
	return err
}
