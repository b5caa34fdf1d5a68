package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"citronspread/model"
	"citronspread/store"
)

// Times of watches.
const (
	watchWait = 20 * time.Second
	// listingPace gathers changes of the platform's list, since each answer of a watch is a call.
	listingPace = 400 * time.Millisecond
	ownerPace   = 100 * time.Millisecond
	// retryFirst and retryMost bound the pauses between calls to a store that does not answer.
	retryFirst = 100 * time.Millisecond
	retryMost  = 500 * time.Millisecond
)

// watcher follows all keys under a prefix.
type watcher struct {
	name    string
	prefix  string
	pace    time.Duration // pause after each change
	listed  func(now time.Time, listing store.Listing)
	changed func(now time.Time, change store.Change)
}

// follow reads the prefix and then its changes, until ctx ends.
func (h *Host) follow(ctx context.Context, w watcher) error {
	revision, pause, isLost := int64(0), retryFirst, false
	for ctx.Err() == nil {
		next, err := h.followOnce(ctx, w, revision)
		if err == nil {
			if isLost {
				h.Log.Info("store regained", zap.String("Watch", w.name), zap.Int64("Revision", next))
			}
			revision, pause, isLost = next, retryFirst, false
			sleep(ctx, w.pace)
			continue
		}
		var history *store.HistoryLostError
		if errors.As(err, &history) {
			h.Log.Info("history lost", zap.String("Watch", w.name), zap.Int64("Revision", revision))
			revision = 0
			continue
		}
		if !isLost && ctx.Err() == nil {
			h.Log.Warn("store lost", zap.String("Watch", w.name), zap.Int64("Revision", revision), zap.Error(err))
		}
		isLost = true
		sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, retryMost)
	}
	return ctx.Err()
}

func (h *Host) followOnce(ctx context.Context, w watcher, revision int64) (int64, error) {
	if revision == 0 {
		listing, err := h.Store.List(ctx, w.prefix)
		if err != nil {
			return 0, err
		}
		h.post(func(now time.Time) { w.listed(now, listing) })
		return listing.Revision, nil
	}
	change, err := h.Store.Watch(ctx, w.prefix, revision, watchWait)
	if err != nil {
		return 0, err
	}
	if len(change.Entries)+len(change.Deleted) > 0 {
		h.post(func(now time.Time) { w.changed(now, change) })
	}
	return change.Revision, nil
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// watchConfiguration follows the operators' desired state.
func (h *Host) watchConfiguration(ctx context.Context) error {
	apply := func(now time.Time, entries []store.Entry) {
		for _, e := range entries {
			if e.Key == h.Decoder.ConfigurationKey {
				h.configure(now, e)
			}
		}
	}
	return h.follow(ctx, watcher{
		name:    "configuration",
		prefix:  h.Decoder.ConfigurationKey,
		listed:  func(now time.Time, l store.Listing) { apply(now, l.Entries) },
		changed: func(now time.Time, c store.Change) { apply(now, c.Entries) },
	})
}

// configure puts a desired state in force, unless a newer one is.
func (h *Host) configure(_ time.Time, e store.Entry) {
	state, err := h.Decoder.DecodeConfiguration(e.Value)
	if err != nil {
		h.Log.Error("desired state not valid, the last one stays in force", zap.Int64("Revision", e.Revision), zap.Error(err))
		return
	}
	if current := h.routes.Load(); current != nil && state.Version <= current.state.Version {
		return
	}
	h.routes.Store(newRouteTable(state))
	h.viewChanged = true
	h.Log.Info("desired state applied", zap.Int64("Version", state.Version), zap.Int64("Revision", e.Revision), zap.Int("Routes", len(state.Routes)))
}

// watchListings follows the backend servers' entries.
func (h *Host) watchListings(ctx context.Context) error {
	return h.follow(ctx, watcher{
		name:   "backend servers",
		prefix: h.Decoder.ListingPrefix,
		pace:   listingPace,
		listed: func(now time.Time, l store.Listing) {
			present := make(map[string]bool)
			for _, e := range l.Entries {
				if h.listed(now, e) {
					present[h.Decoder.ListingID(e.Key)] = true
				}
			}
			h.view.relisted(now, present)
			h.listedOK.Store(true)
		},
		changed: func(now time.Time, c store.Change) {
			for _, e := range c.Entries {
				h.listed(now, e)
			}
			for _, key := range c.Deleted {
				h.unlisted(h.Decoder.ListingID(key))
			}
		},
	})
}

// listed takes in one entry and reports whether it names a backend server.
func (h *Host) listed(now time.Time, e store.Entry) bool {
	id := h.Decoder.ListingID(e.Key)
	listing, err := h.Decoder.DecodeListing(e)
	if err != nil {
		h.Log.Info("entry names no backend server", zap.String("Key", e.Key), zap.Int64("Revision", e.Revision), zap.Error(err))
		h.unlisted(id)
		return false
	}
	before := h.view.backends[id]
	wasDraining := before != nil && before.listing.Draining
	changed, reborn := h.view.listed(now, listing)
	if !changed {
		return true
	}
	h.viewChanged = true
	if before == nil || reborn || listing.Draining != wasDraining {
		h.Log.Info("backend server listed", zap.String("Backend", id), zap.String("Service", listing.Service), zap.String("Address", listing.Address),
			zap.String("Zone", listing.Zone), zap.Bool("Draining", listing.Draining), zap.Bool("Reborn", reborn),
			zap.Int64("Revision", e.Revision), zap.Strings("Models", listing.Models))
	}
	if b := h.owned[id]; b != nil && reborn {
		b.account.Reborn(now, listing.Life)
	}
	return true
}

func (h *Host) unlisted(id string) {
	if h.view.backends[id] == nil {
		return
	}
	h.view.removed(id)
	h.viewChanged = true
	h.Log.Info("backend server gone", zap.String("Backend", id))
}

// Wake passes a router's demand to the control thread.
func (h *Host) Wake(w model.Wake) {
	select {
	case h.events <- func(now time.Time) { h.woken(now, w) }:
	default:
		h.Log.Warn("wake dropped", zap.String("Model", w.Key.Model))
	}
}
