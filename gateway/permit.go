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
	// permitPause follows a permit that was taken or lost to another host; the pace of the watch and a margin.
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
	taken    map[string]bool // by key, as the store last told
}

// free returns the first of so many permits that nobody has.
func (p *permits) free(count int) (key string, found bool) {
	for i := range count {
		if key = permitPrefix + strconv.Itoa(i); !p.taken[key] {
			return key, true
		}
	}
	return "", false
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
	key, found := h.permits.free(h.permitCount(spec))
	if !found {
		return
	}
	h.permits.asking = true
	lasting := h.CeilingWindow + permitMargin
	for _, m := range spec.Models {
		lasting = max(lasting, m.ColdLoad)
	}
	h.spawn(func(ctx context.Context) {
		err := h.takePermit(ctx, key, lasting)
		h.post(func(now time.Time) {
			h.permits.asking = false
			h.permits.askAt = now.Add(permitPause)
			if err != nil {
				h.Log.Info("no permit", zap.String("Key", key), zap.Error(err))
				return
			}
			h.permits.taken[key] = true
			h.permits.got, h.permits.usableTo = 1, now.Add(permitUse)
		})
	})
}

// takePermit takes a permit that is free as far as is known. A *store.ConflictError tells that another host has it.
func (h *Host) takePermit(ctx context.Context, key string, lasting time.Duration) error {
	lease, err := h.Store.Grant(ctx, lasting)
	if err != nil {
		return err
	}
	_, err = h.Store.Commit(ctx, store.Transaction{
		Expected: []store.Entry{{Key: key}},
		Writes:   []store.Write{{Key: key, Value: []byte(h.Name), Lease: lease}},
	})
	return err
}
