package gateway

import (
	"context"
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
	available     int // acquired and not used yet
	usableUntil   time.Time
	taken         map[string]bool // keys held by any host, as of the last update from the store
}

// free returns the first of count permit keys that no host holds.
func (p *permits) free(count int) (key string, found bool) {
	for i := range count {
		if key = permitPrefix + strconv.Itoa(i); !p.taken[key] {
			return key, true
		}
	}
	return "", false
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

// requestPermit acquires a free permit in the background unless one is ready or requested.
func (h *Host) requestPermit(now time.Time, spec *model.EngineSpec) {
	if h.permits.requesting || now.Before(h.permits.nextRequestAt) || h.permits.ready(now) {
		return
	}
	key, found := h.permits.free(h.permitCount(spec))
	if !found {
		return
	}
	h.permits.requesting = true
	ttl := h.WeightLoadWindow + permitMargin
	for _, m := range spec.Models {
		ttl = max(ttl, m.ColdLoad)
	}
	h.spawn(func(ctx context.Context) {
		err := h.acquirePermit(ctx, key, ttl)
		h.post(func(now time.Time) {
			h.permits.requesting = false
			h.permits.nextRequestAt = now.Add(permitPause)
			if err != nil {
				h.Log.Info("load permit not acquired", zap.String("Key", key), zap.Error(err))
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
