package gateway

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"strings"
	"time"

	"go.uber.org/zap"

	"citronspread/model"
	"citronspread/store"
	"citronspread/tenure"
)

// Times of watches.
const (
	// watchWait is short, because a watch whose history is dropped may wait on without hearing of changes,
	// and a desired state has to be in force within two seconds.
	watchWait = time.Second
	// watchPace gathers changes, since each answer of a watch is a call.
	watchPace = 600 * time.Millisecond
	// retryFirst and retryMost bound the pauses between calls to a store that does not answer.
	retryFirst = 100 * time.Millisecond
	retryMost  = 500 * time.Millisecond
)

// watchStore follows everything in the store with one watch, or by way of the zone's relay, until ctx ends.
func (h *Host) watchStore(ctx context.Context) error {
	revision, pause, isLost := int64(0), retryFirst, false
	for ctx.Err() == nil {
		next, pace, err := h.watchOnce(ctx, revision)
		if err == nil {
			if isLost {
				h.Log.Info("store regained", zap.Int64("Revision", next))
			}
			revision, pause, isLost = next, retryFirst, false
			sleep(ctx, pace)
			continue
		}
		var history *store.HistoryLostError
		if errors.As(err, &history) {
			h.Log.Info("history lost", zap.Int64("Revision", revision))
			revision = 0
			continue
		}
		if !isLost && ctx.Err() == nil {
			h.Log.Warn("store lost", zap.Int64("Revision", revision), zap.Error(err))
		}
		isLost = true
		sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, retryMost)
	}
	return ctx.Err()
}

// watchOnce reads the whole store, or waits for what changed after the revision: from the zone's relay, else from the store.
func (h *Host) watchOnce(ctx context.Context, revision int64) (next int64, pace time.Duration, err error) {
	if revision == 0 {
		listing, err := h.Store.List(ctx, "")
		if err != nil {
			return 0, 0, err
		}
		h.history.reset(h.Now(), listing.Revision)
		h.post(func(now time.Time) { h.storeRead(now, listing) })
		return listing.Revision, watchPace, nil
	}
	change, followed := h.follow(ctx, revision)
	if !followed {
		if change, err = h.Store.Watch(ctx, "", revision, watchWait); err != nil {
			return 0, 0, err
		}
		pace = watchPace
	}
	h.history.add(h.Now(), change, !followed)
	h.post(func(now time.Time) { h.storeChanged(now, change) })
	return change.Revision, pace, nil
}

// storeRead takes in the whole content of the store.
func (h *Host) storeRead(now time.Time, l store.Listing) {
	lives, owners := make(map[string]bool), make(map[string]bool)
	listed, permits := make(map[string]bool), make(map[string]bool)
	for _, e := range l.Entries {
		h.written(now, e)
		switch kind, name := h.kindOf(e.Key); kind {
		case keyLiveness:
			lives[name] = true
		case keyOwner:
			owners[name] = true
		case keyListing:
			listed[name] = true
		case keyPermit:
			permits[e.Key] = true
		}
	}
	h.permits.taken = permits
	maps.DeleteFunc(h.table.Owners, func(id string, o tenure.Owner) bool { return !owners[id] && o.Revision <= l.Revision })
	h.table.Relisted(now, lives, l.Revision)
	h.view.relisted(now, listed)
	h.listedOK.Store(true)
	h.observed(now)
}

// storeChanged takes in changes of the store.
func (h *Host) storeChanged(now time.Time, c store.Change) {
	for _, e := range c.Entries {
		h.written(now, e)
	}
	for _, key := range c.Deleted {
		switch kind, name := h.kindOf(key); kind {
		case keyLiveness:
			h.table.LivenessEnded(now, name, c.Revision)
		case keyOwner:
			delete(h.table.Owners, name)
		case keyListing:
			h.unlisted(name)
		case keyPermit:
			delete(h.permits.taken, key)
		}
	}
	h.observed(now)
}

// observed follows from what the store told.
func (h *Host) observed(now time.Time) {
	h.table.Observed(now)
	h.noteHosts()
	h.chooseRelay(now)
}

// keyKind is what a key of the store is about.
type keyKind int

// Kinds of keys.
const (
	keyOther keyKind = iota
	keyConfiguration
	keyListing
	keyHost
	keyLiveness
	keyOwner
	keyPermit
)

// kindOf tells what a key is about, and the name of the host or backend server.
func (h *Host) kindOf(key string) (keyKind, string) {
	if key == h.Decoder.ConfigurationKey {
		return keyConfiguration, ""
	}
	if name, found := strings.CutPrefix(key, hostPrefix); found {
		return keyHost, name
	}
	if name, found := strings.CutPrefix(key, livenessPrefix); found {
		return keyLiveness, name
	}
	if id, found := strings.CutPrefix(key, ownerPrefix); found {
		return keyOwner, id
	}
	if strings.HasPrefix(key, permitPrefix) {
		return keyPermit, ""
	}
	if strings.HasPrefix(key, h.Decoder.ListingPrefix) {
		return keyListing, h.Decoder.ListingID(key)
	}
	return keyOther, ""
}

// written takes in one entry.
func (h *Host) written(now time.Time, e store.Entry) {
	switch kind, name := h.kindOf(e.Key); kind {
	case keyConfiguration:
		h.configure(e)
	case keyHost:
		if record, ok := decodeRecord[tenure.HostRecord](h, e); ok {
			h.table.HostWritten(now, record, e.Revision)
		}
	case keyLiveness:
		h.table.LivenessWritten(name, e.Revision)
	case keyOwner:
		h.putOwner(h.table.Owners, name, e)
	case keyListing:
		h.listed(now, e)
	case keyPermit:
		h.permits.taken[e.Key] = true
	}
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

// configure puts a desired state in force, unless a newer one is.
func (h *Host) configure(e store.Entry) {
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

// listed takes in the entry of a backend server.
func (h *Host) listed(now time.Time, e store.Entry) {
	id := h.Decoder.ListingID(e.Key)
	listing, err := h.Decoder.DecodeListing(e)
	if err != nil {
		h.Log.Info("entry names no backend server", zap.String("Key", e.Key), zap.Int64("Revision", e.Revision), zap.Error(err))
		h.unlisted(id)
		return
	}
	before := h.view.backends[id]
	wasDraining := before != nil && before.listing.Draining
	changed, reborn := h.view.listed(now, listing)
	if !changed {
		return
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
