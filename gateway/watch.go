package gateway

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"citronspread/model"
	"citronspread/ownership"
	"citronspread/store"
)

// Timing of watches.
const (
	// watchWait is the wait of one watch. It is short because a watch whose history the store has dropped may keep
	// waiting without receiving changes, and a desired state must be applied within two seconds.
	watchWait = time.Second
	// catchUpWait is the wait of a watch that only has to deliver the changes that there are.
	catchUpWait = 50 * time.Millisecond
	// startDelay is the delay between the first read and the watch that completes it. When all hosts start at once, that
	// watch delivers all their registrations.
	startDelay = 300 * time.Millisecond
	// watchDelay is the delay between two watches. It batches changes, since each response counts as a call to the
	// store.
	watchDelay = 600 * time.Millisecond
	// minRetryPause and maxRetryPause bound the pause between calls to a store that does not respond.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
)

// watchStore follows all changes of the store until ctx ends, with one watch or through the zone's relay.
func (h *Host) watchStore(ctx context.Context) error {
	revision, pause, isLost := int64(0), minRetryPause, false
	for ctx.Err() == nil {
		next, delay, err := h.watchOnce(ctx, revision)
		if err == nil {
			if isLost {
				h.Log.Info("store regained", zap.Int64("Revision", next))
			}
			revision, pause, isLost = next, minRetryPause, false
			sleep(ctx, delay)
			continue
		}
		var historyLost *store.HistoryLostError
		if isRestored(err) || errors.As(err, &historyLost) {
			h.Log.Info("history lost", zap.Int64("Revision", revision), zap.Error(err))
			h.post(func(now time.Time) { h.enterEraOf(now, err) })
			revision = 0 // the next read is linearizable, see readStore
			continue
		}
		if !isLost && ctx.Err() == nil {
			h.Log.Warn("store lost", zap.Int64("Revision", revision), zap.Error(err))
		}
		isLost = true
		if revision > 0 && h.caughtUp.Load() {
			continue // relayChoice sets the pauses
		}
		sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, maxRetryPause)
	}
	return ctx.Err()
}

// watchOnce reads the complete store if the revision is 0. Otherwise it gets the changes after the revision, from a relay
// of the zone or from the store. It returns the next revision and the delay before the next call.
func (h *Host) watchOnce(ctx context.Context, revision int64) (next int64, delay time.Duration, err error) {
	if revision == 0 {
		return h.readStore(ctx)
	}
	if !h.caughtUp.Load() {
		return h.watchDirectly(ctx, revision, catchUpWait)
	}
	s, relayCtx, cancel := h.chooseSource(ctx)
	defer cancel()
	switch {
	case s.wait > 0:
		return revision, min(s.wait, maxRetryPause), nil
	case s.relay == "":
		return h.watchAs(ctx, revision, s)
	}
	change, followed := h.follow(ctx, relayCtx, s, revision)
	if !followed {
		return revision, 0, nil
	}
	h.applyChange(change, false)
	h.completeUpTo(h.followedUpTo)
	return change.Revision, followPause, nil
}

// completeUpTo records that all changes of the store up to a time have been received. The control thread applies them in order.
func (h *Host) completeUpTo(at time.Time) {
	h.history.completeUpTo(at)
	h.post(func(time.Time) {
		if at.After(h.viewCompleteAt) {
			h.viewCompleteAt = at
		}
	})
}

// watchAs watches the store as the relay of the zone, or once for lack of one.
func (h *Host) watchAs(ctx context.Context, revision int64, s source) (next int64, delay time.Duration, err error) {
	wait := watchWait
	if s.catchUp || h.history.isStale(h.Now()) {
		wait = catchUpWait // followers wait until this host is fresh
	}
	next, delay, err = h.watchDirectly(ctx, revision, wait)
	if err != nil {
		h.history.markStale()
	}
	var historyLost *store.HistoryLostError
	responded := err == nil || errors.As(err, &historyLost) || isRestored(err)
	h.relayMu.Lock()
	h.relays.watched(h.Now(), h.order, !s.catchUp, responded)
	h.relayMu.Unlock()
	if s.catchUp {
		delay = 0
	}
	return next, delay, err
}

// readStore reads the complete store. The first read may return content that is some seconds old: the host is not ready
// and sends no orders before a watch has delivered the changes since then.
func (h *Host) readStore(ctx context.Context) (revision int64, delay time.Duration, err error) {
	consistency, cause, delay := store.Linearizable, "history lost", time.Duration(0)
	if !h.backendsListed.Load() {
		consistency, cause, delay = store.Serializable, "start", startDelay
	}
	h.Metrics.CountStoreCall("range", cause)
	startedAt := h.Now()
	listing, err := h.Store.List(ctx, "", consistency)
	if err != nil {
		return 0, 0, err
	}
	readAt, unseenFor := time.Time{}, time.Duration(0)
	if consistency == store.Linearizable {
		readAt = h.Now()
		unseenFor = h.history.unseenFor(startedAt)
	}
	for _, e := range listing.Entries {
		h.values.record(e)
	}
	h.history.reset(readAt, listing.Revision)
	h.post(func(now time.Time) {
		if unseenFor > maxUnseenTime {
			h.Log.Info("software versions may have served unseen", zap.Duration("For", unseenFor))
			h.software.forget(now)
		}
		h.applyStoreContent(now, listing)
	})
	if consistency == store.Linearizable {
		h.completeUpTo(startedAt)
		h.completeCatchUp(ctx, listing.Revision)
	}
	return listing.Revision, delay, nil
}

// watchDirectly waits for changes after the revision at the store.
func (h *Host) watchDirectly(ctx context.Context, revision int64, wait time.Duration) (next int64, delay time.Duration, err error) {
	cause := "relay"
	if wait != watchWait {
		cause = "catch up"
	}
	h.Metrics.CountStoreCall("watch", cause)
	completeAt := h.Now()
	change, err := h.Store.Watch(store.WithProgress(ctx, func() { h.history.extend(h.Now()) }), "", revision, wait)
	if err != nil {
		return revision, 0, err
	}
	if change.IsEmpty() {
		completeAt = earlier(completeAt.Add(wait), h.Now()) // without a change the store responds at the end of the wait
	}
	h.applyChange(change, true)
	h.completeUpTo(completeAt)
	h.completeCatchUp(ctx, change.Revision)
	return change.Revision, watchDelay, nil
}

// applyChange retains a change for the hosts that follow this one and applies it. The records of streams are left out: a
// host reads the one that it needs.
func (h *Host) applyChange(change store.Change, direct bool) {
	isStream := func(key string) bool { return strings.HasPrefix(key, StreamPrefix) }
	change.Entries = slices.DeleteFunc(change.Entries, func(e store.Entry) bool { return isStream(e.Key) })
	change.Deleted = slices.DeleteFunc(change.Deleted, isStream)
	for _, e := range change.Entries {
		h.values.record(e)
	}
	h.history.add(h.Now(), change, direct)
	h.post(func(now time.Time) { h.applyStoreChange(now, change) })
}

// applyStoreContent applies the complete content of the store.
func (h *Host) applyStoreContent(now time.Time, l store.Listing) {
	h.enterEra(now, store.Era(l.Revision))
	isFirstOfEra := store.Era(l.Revision) > store.Era(h.table.ObservedRevision)
	recorded, liveness, owners := make(map[string]bool), make(map[string]bool), make(map[string]bool)
	listedBackends, takenPermits, bases := make(map[string]bool), make(map[string]bool), make(map[string]bool)
	for _, e := range l.Entries {
		kind, name := h.parseKey(e.Key)
		if isFirstOfEra && kind == keyListing && h.isGone(e) {
			continue
		}
		h.applyEntry(now, e)
		switch kind {
		case keyHost:
			recorded[name] = true
		case keyLiveness:
			liveness[name] = true
		case keyOwner:
			owners[name] = true
		case keyListing:
			listedBackends[name] = true
		case keyPermit:
			takenPermits[e.Key] = true
		case keyBaseSoftware:
			bases[name] = true
		}
	}
	h.software.relisted(bases)
	if isFirstOfEra {
		h.permits.carry(now.Add(h.permitTTL()))
	}
	h.permits.taken = takenPermits
	maps.DeleteFunc(h.table.Owners, func(id string, o ownership.Owner) bool { return !owners[id] && o.Revision <= l.Revision })
	h.table.Relisted(now, recorded, liveness, l.Revision)
	h.view.markMissing(now, listedBackends)
	h.backendsListed.Store(true)
	h.afterStoreUpdate(now, l.Revision)
}

// applyStoreChange applies a change of the store.
func (h *Host) applyStoreChange(now time.Time, c store.Change) {
	for _, e := range c.Entries {
		h.applyEntry(now, e)
	}
	for _, key := range c.Deleted {
		switch kind, name := h.parseKey(key); kind {
		case keyLiveness:
			h.table.LivenessEnded(now, name, c.Revision)
		case keyOwner:
			delete(h.table.Owners, name)
		case keyListing:
			if h.view.backends[name] == nil {
				h.software.forget(now) // it has joined and left since the last change
			}
			h.removeBackend(now, name)
		case keyPermit:
			delete(h.permits.taken, key)
		}
	}
	h.afterStoreUpdate(now, c.Revision)
}

// enterEra voids what this host knows of its registration and ownership if the store is in a new era.
func (h *Host) enterEra(now time.Time, era int64) {
	renewedFor := time.Duration(0)
	if !h.table.RenewedAt.IsZero() {
		renewedFor = now.Sub(h.table.RenewedAt)
	}
	if !h.table.EnterEra(now, era) {
		return
	}
	h.registered = false
	h.software.era.enter(now, era)
	h.settledEra.Store(h.software.era.settled(now))
	h.streams.repeat(era)
	continued := 0
	for id := range h.owned {
		if h.table.Continues(id) {
			continued++
		}
	}
	h.Log.Warn("store restored", zap.Int64("Era", era), zap.Duration("RenewedFor", renewedFor), zap.Int("Owned", len(h.owned)), zap.Int("Continued", continued))
}

// enterEraOf enters the era that an error states. It reports whether the error is a *store.RestoredError.
func (h *Host) enterEraOf(now time.Time, err error) bool {
	var restored *store.RestoredError
	if !errors.As(err, &restored) {
		return false
	}
	h.enterEra(now, restored.Era)
	return true
}

func isRestored(err error) bool {
	var restored *store.RestoredError
	return errors.As(err, &restored)
}

// isGone reports whether an entry of a restored store is one of a backend server that has left since it was written.
func (h *Host) isGone(e store.Entry) bool {
	listing, err := h.Decoder.DecodeListing(e)
	if err != nil || !h.view.isGone(listing.Life) {
		return false
	}
	h.Log.Info("entry of a backend server that has left ignored", zap.String("Backend", listing.Life.ID), zap.Int64("Revision", e.Revision))
	return true
}

// afterStoreUpdate updates what depends on the applied content of the store.
func (h *Host) afterStoreUpdate(now time.Time, revision int64) {
	h.table.Observed(now, revision)
	h.updateHostCount(now)
	h.updateRelays()
	h.learnSuspects()
}

// keyKind is the kind of a key in the store.
type keyKind int

const (
	keyOther keyKind = iota
	keyConfiguration
	keyListing
	keyHost
	keyLiveness
	keyOwner
	keyPermit
	keyBaseSoftware
	keySettledEra
	keyStream
)

// parseKey returns the kind of a key and the name of its host or ID of its backend server, if any.
func (h *Host) parseKey(key string) (keyKind, string) {
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
	if service, found := strings.CutPrefix(key, baseSoftwarePrefix); found {
		return keyBaseSoftware, service
	}
	if strings.HasPrefix(key, StreamPrefix) {
		return keyStream, ""
	}
	if key == settledEraKey {
		return keySettledEra, ""
	}
	if strings.HasPrefix(key, h.Decoder.ListingPrefix) {
		return keyListing, h.Decoder.ListingID(key)
	}
	return keyOther, ""
}

// applyEntry applies one entry of the store.
func (h *Host) applyEntry(now time.Time, e store.Entry) {
	switch kind, name := h.parseKey(e.Key); kind {
	case keyConfiguration:
		h.applyConfiguration(e)
	case keyHost:
		if record, ok := decodeRecord[ownership.HostRecord](h, e); ok {
			h.table.HostWritten(now, record, e.Revision)
		}
	case keyLiveness:
		h.table.LivenessWritten(name, e.Revision)
	case keyOwner:
		h.mergeOwner(h.table.Owners, name, e)
	case keyListing:
		h.applyListing(now, e)
	case keyPermit:
		h.permits.taken[e.Key] = true
	case keyBaseSoftware:
		if record, ok := decodeRecord[BaseSoftware](h, e); ok {
			h.software.apply(name, record, e.Revision)
		}
	case keySettledEra:
		if record, ok := decodeRecord[SettledEra](h, e); ok {
			h.software.era.recorded = record.Era
			h.software.changed = true
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// sleep waits for the duration or until ctx ends.
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

// applyConfiguration applies a desired state unless the current one is at least as new.
func (h *Host) applyConfiguration(e store.Entry) {
	state, err := h.Decoder.DecodeConfiguration(e.Value)
	if err != nil {
		h.Log.Error("desired state not valid, the last one stays in force", zap.Int64("Revision", e.Revision), zap.Error(err))
		h.learnAttempts = invalidLearnAttempts
		return
	}
	current := h.routes.Load()
	if current != nil && state.Version <= current.state.Version {
		if state.Version < current.state.Version {
			h.Log.Info("older desired state ignored", zap.Int64("Version", state.Version), zap.Int64("Current", current.state.Version), zap.Int64("Revision", e.Revision))
		}
		return
	}
	table := newRouteTable(state)
	h.desired.Store(newDesiredState(state.Version, e))
	h.caps.setCaps(table.caps) // first, so that no request is taken for one without a cap
	h.routes.Store(table)
	h.viewChanged = true
	h.Log.Info("desired state applied", zap.Int64("Version", state.Version), zap.Int64("Revision", e.Revision), zap.Int("Routes", len(state.Routes)))
	h.logWorkspaces(current, table)
}

// applyListing applies the entry of a backend server. An entry that can't be decoded removes the backend server.
func (h *Host) applyListing(now time.Time, e store.Entry) {
	id := h.Decoder.ListingID(e.Key)
	listing, err := h.Decoder.DecodeListing(e)
	if err != nil {
		h.Log.Info("entry names no backend server", zap.String("Key", e.Key), zap.Int64("Revision", e.Revision), zap.Error(err))
		h.removeBackend(now, id)
		return
	}
	before := h.view.backends[id]
	wasDraining := before != nil && before.listing.Draining
	changed, restarted := h.view.applyListing(now, listing)
	if !changed {
		return
	}
	h.viewChanged = true
	if restarted {
		h.forgetBackend(now, id)
	}
	if before == nil || restarted || listing.Draining != wasDraining {
		h.Log.Info("backend server listed", zap.String("Backend", id), zap.String("Service", listing.Service), zap.String("Address", listing.Address),
			zap.String("Zone", listing.Zone), zap.String("Software", listing.Software), zap.Bool("Draining", listing.Draining), zap.Bool("Reborn", restarted),
			zap.Int64("Revision", e.Revision), zap.Strings("Models", listing.Models))
	}
	if b := h.owned[id]; b != nil && restarted {
		b.account.ResetForIncarnation(now, listing.Life)
	}
}

// removeBackend removes a backend server from the view. What is known of it is kept, see goneRetention.
func (h *Host) removeBackend(now time.Time, id string) {
	if h.view.backends[id] == nil {
		return
	}
	h.view.remove(now, id)
	h.viewChanged = true
	h.Log.Info("backend server gone", zap.String("Backend", id))
}

// ReportDemand passes a load demand of the router to the control thread. It drops the demand if the event queue is full;
// the router repeats it.
func (h *Host) ReportDemand(demand model.LoadDemand) {
	select {
	case h.events <- func(now time.Time) { h.addDemand(now, demand) }:
	default:
		h.Log.Warn("load demand dropped, event queue full", zap.String("Model", demand.Key.Model))
	}
}
