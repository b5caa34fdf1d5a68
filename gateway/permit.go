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
	// permitPause is the time between two looks for a free permit.
	permitPause = 700 * time.Millisecond
	// permitUse is how long a permit that was got may wait for its load.
	permitUse = 500 * time.Millisecond
	// permitMargin is kept beyond the window of the ceiling, for a load that begins late.
	permitMargin = 500 * time.Millisecond
)

// permits is the right to load from the weight store, shared by all entry hosts: a fixed number of keys,
// each taken under a lease that outlasts the window of the ceiling, so that no window sees more than two loads a key.
type permits struct {
	asking   bool
	askAt    time.Time
	got      int
	usableTo time.Time
}

func (p *permits) ready(now time.Time) bool { return p.got > 0 && now.Before(p.usableTo) }

func (p *permits) take() { p.got-- }

// permitCount returns how many permits there are.
func (h *Host) permitCount(spec *model.EngineSpec) int {
	const loadsOfKey = 2 // of one key in one window
	ceiling := spec.LoadsPerSecond*h.CeilingWindow.Seconds()*h.CeilingOverage + 3
	return max(1, min(h.ParallelLoads, int(ceiling)/loadsOfKey))
}

// wantPermit looks for a free permit.
func (h *Host) wantPermit(now time.Time, spec *model.EngineSpec) {
	if h.permits.asking || now.Before(h.permits.askAt) || h.permits.ready(now) {
		return
	}
	h.permits.asking = true
	count, lasting := h.permitCount(spec), h.CeilingWindow+permitMargin
	for _, m := range spec.Models {
		lasting = max(lasting, m.ColdLoad)
	}
	h.spawn(func(ctx context.Context) {
		got, err := h.takePermit(ctx, count, lasting)
		h.post(func(now time.Time) {
			h.permits.asking = false
			h.permits.askAt = now.Add(permitPause)
			if err != nil {
				h.Log.Info("no permit", zap.Error(err))
				return
			}
			if got {
				h.permits.got, h.permits.usableTo = 1, now.Add(permitUse)
			}
		})
	})
}

func (h *Host) takePermit(ctx context.Context, count int, lasting time.Duration) (bool, error) {
	listing, err := h.Store.List(ctx, permitPrefix)
	if err != nil {
		return false, err
	}
	taken := make(map[string]bool)
	for _, e := range listing.Entries {
		taken[e.Key] = true
	}
	for i := range count {
		key := permitPrefix + strconv.Itoa(i)
		if taken[key] {
			continue
		}
		lease, err := h.Store.Grant(ctx, lasting)
		if err != nil {
			return false, err
		}
		_, err = h.Store.Commit(ctx, store.Transaction{
			Expected: []store.Entry{{Key: key}},
			Writes:   []store.Write{{Key: key, Value: []byte(h.Name), Lease: lease}},
		})
		return err == nil, err
	}
	return false, nil
}
