package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"citronspread/ownership"
	"citronspread/store"
)

// Prefixes of keys in the platform's store.
const (
	hostPrefix     = "citronspread/host/"
	livenessPrefix = "citronspread/liveness/" // keys bound to the hosts' leases
	ownerPrefix    = "citronspread/owner/"
)

// Timing and limits of registrations and claims.
const (
	// initialClaimDelay lets all hosts register when the system starts, so that backend servers are divided evenly.
	initialClaimDelay = 1200 * time.Millisecond
	// claimInterval is the time between two checks for backend servers without an owner.
	claimInterval = 200 * time.Millisecond
	// claimPause follows a claim that failed. It is longer than watchDelay, so that the cause of the failure has
	// arrived through the watch.
	claimPause = 2 * watchDelay
	// registerPause is the pause after a failed registration, renewal or claim. It doubles with each further registration
	// that fails, up to maxRegisterPause, because the store may turn away many hosts for long.
	registerPause    = 300 * time.Millisecond
	maxRegisterPause = 2400 * time.Millisecond
	// maxClaimBatch bounds the claims of one transaction. The store accepts 32 rows: one for the own host and four
	// for each claim.
	maxClaimBatch = 7
)

// stepOwnership registers, renews the lease and claims backend servers, each when due. A stopping host keeps renewing,
// so that its registration remains valid until its successors have acted on it.
func (h *Host) stepOwnership(now time.Time) {
	if h.registered && !h.table.IsRegistered() {
		h.registered = false
		h.Log.Warn("registration lost", zap.String("Name", h.Name), zap.Duration("Age", now.Sub(h.table.RenewedAt)))
	}
	switch {
	case h.renewing:
	case !h.registered && !h.stopping.Load() && h.backendsListed.Load() && store.Era(h.table.ObservedRevision) == h.table.Era:
		h.register()
	case h.registered && now.Sub(h.lastRenewAt) >= ownership.RenewInterval:
		h.renew(now)
	}
	if !h.registered || h.stopping.Load() || h.claiming || now.Before(h.nextClaimAt) {
		return
	}
	h.nextClaimAt = now.Add(claimInterval)
	if claims := h.table.Claims(now, h.backendsToOwn()); len(claims) > 0 {
		h.claim(claims[:min(len(claims), maxClaimBatch)])
	}
}

// backendsToOwn returns the backend servers that need an owner: those of engine services that are not draining.
func (h *Host) backendsToOwn() []ownership.Backend {
	table := h.routes.Load()
	if table == nil {
		return nil
	}
	var backends []ownership.Backend
	for id, b := range h.view.backends {
		if b.isUsable() && table.state.Services[b.listing.Service].Engine != nil {
			backends = append(backends, ownership.Backend{ID: id, Zone: b.listing.Zone})
		}
	}
	return backends
}

// registration holds what writeRegistration has written.
type registration struct {
	lease     int64
	startedAt time.Time // start of the transaction
	revision  int64
}

// register writes the own host record and liveness key.
func (h *Host) register() {
	h.renewing = true
	self, expected := h.table.Self, h.table.Hosts[h.Name].Revision
	pause := h.registerPause
	h.spawn(func(ctx context.Context) {
		r, err := h.writeRegistration(ctx, self, expected)
		if err != nil {
			sleep(ctx, pause/2+rand.N(pause))
		}
		h.post(func(now time.Time) {
			h.renewing = false
			if h.enterEraOf(now, err) || err == nil && store.Era(r.revision) < h.table.Era {
				h.Log.Warn("registration void", zap.Int64("Revision", r.revision), zap.Int64("Era", h.table.Era), zap.Error(err))
				return
			}
			if err != nil {
				h.registerPause = min(2*h.registerPause, maxRegisterPause)
				h.Log.Warn("not registered", zap.String("Name", self.Name), zap.Int64("Expected", expected), zap.Error(err))
				h.applyConflict(now, err)
				return
			}
			h.registered, h.lastRenewAt, h.lease, h.registerPause = true, now, r.lease, registerPause
			if h.nextClaimAt.IsZero() {
				h.nextClaimAt = now.Add(initialClaimDelay)
			}
			h.table.Registered(r.startedAt, r.revision)
			h.updateHostCount(now)
			h.Log.Info("registered", zap.String("Name", self.Name), zap.String("Incarnation", self.Incarnation), zap.Int64("Revision", r.revision), zap.Int64("Lease", r.lease))
			if h.stopping.Load() {
				h.releaseOwnership(now)
			}
		})
	})
}

// writeRegistration makes the store calls of a registration.
func (h *Host) writeRegistration(ctx context.Context, self ownership.HostRecord, expected int64) (r registration, err error) {
	hostKey, livenessKey := hostPrefix+self.Name, livenessPrefix+self.Name
	h.Metrics.CountStoreCall("lease", "register")
	if r.lease, err = h.Store.GrantLease(ctx, ownership.LeaseTTL); err != nil {
		return registration{}, err
	}
	r.startedAt = h.Now()
	h.Metrics.CountStoreCall("transaction", "register")
	r.revision, err = h.Store.Commit(ctx, store.Transaction{
		Expected: []store.Entry{{Key: hostKey, Revision: expected}},
		Writes:   []store.Write{{Key: hostKey, Value: encode(self)}, {Key: livenessKey, Value: []byte(self.Incarnation), Lease: r.lease}},
	})
	return r, err
}

// applyConflict applies the own host record that a registration conflicted with. It comes from a registration whose
// response was lost, or from a late write of a previous process.
func (h *Host) applyConflict(now time.Time, err error) {
	var conflict *store.ConflictError
	if errors.As(err, &conflict) && conflict.Current.Revision > 0 {
		h.applyEntry(now, conflict.Current)
	}
}

// renew renews the lease, which proves that this host is running. The host gives orders only while its latest
// renewal is recent.
func (h *Host) renew(now time.Time) {
	h.renewing, h.lastRenewAt = true, now
	lease, era := h.lease, h.table.Era
	h.spawn(func(ctx context.Context) {
		startedAt := h.Now()
		h.Metrics.CountStoreCall("renewal", "register")
		err := h.Store.RenewLease(ctx, lease, era)
		h.post(func(now time.Time) {
			h.renewing = false
			if h.enterEraOf(now, err) || era != h.table.Era {
				h.registered = false
				h.Log.Warn("lease void", zap.Int64("Lease", lease), zap.Int64("Era", era), zap.Error(err))
				return
			}
			h.handleRenewal(now, startedAt, err)
		})
	})
}

// handleRenewal handles the outcome of a renewal that started at the time startedAt.
func (h *Host) handleRenewal(now, startedAt time.Time, err error) {
	age := now.Sub(h.table.RenewedAt)
	var leaseEnded *store.NotFoundError
	switch {
	case err == nil:
		if age > ownership.Validity {
			h.Log.Info("ownership regained", zap.Duration("Age", age))
		}
		h.table.Renewed(startedAt)
	case errors.As(err, &leaseEnded):
		// No successor takes over before the latest renewal has expired, so this host may give orders until then.
		h.registered = false
		h.Log.Warn("lease ended", zap.Duration("Age", age), zap.Int64("Lease", h.lease))
	default:
		h.lastRenewAt = now.Add(registerPause - ownership.RenewInterval)
		h.Log.Warn("not renewed", zap.Duration("Age", age), zap.Error(err))
	}
}

// updateHostCount publishes the number of live hosts, which share the retry budgets, to the goroutines that serve
// requests.
func (h *Host) updateHostCount(now time.Time) {
	if live := int64(len(h.table.Live())); h.hosts.observe(now, live) {
		h.viewChanged = true
		h.Log.Info("entry hosts changed", zap.Int64("Live", live), zap.Int64("Peak", h.hosts.peak.Load()))
	}
}

// decodeRecord decodes a host record or owner record and logs a failure.
func decodeRecord[T any](h *Host, e store.Entry) (record T, ok bool) {
	if err := json.Unmarshal(e.Value, &record); err != nil {
		h.Log.Error("store record not decoded", zap.String("Key", e.Key), zap.Int64("Revision", e.Revision), zap.Error(err))
		return record, false
	}
	return record, true
}

// mergeOwner decodes an owner record and stores it in owners unless the record there is at least as new.
func (h *Host) mergeOwner(owners map[string]ownership.Owner, id string, e store.Entry) {
	if record, ok := decodeRecord[ownership.OwnerRecord](h, e); ok && e.Revision > owners[id].Revision {
		owners[id] = ownership.Owner{Record: record, Revision: e.Revision}
	}
}

// claim makes this host the owner of backend servers, all in one transaction.
func (h *Host) claim(claims []ownership.Claim) {
	h.claiming = true
	ownKey := hostPrefix + h.Name
	t := store.Transaction{Expected: []store.Entry{{Key: ownKey, Revision: h.table.Revision}}}
	expected := map[string]bool{ownKey: true}
	for _, c := range claims {
		t.Expected = append(t.Expected, store.Entry{Key: ownerPrefix + c.Backend, Revision: c.Revision})
		t.Writes = append(t.Writes, store.Write{Key: ownerPrefix + c.Backend, Value: encode(h.table.RecordOf(c))})
		if key := hostPrefix + c.Previous; c.Previous != "" && !expected[key] {
			expected[key] = true
			t.Expected = append(t.Expected, store.Entry{Key: key, Revision: c.PreviousRevision})
			if c.PreviousExpired {
				t.Expected = append(t.Expected, store.Entry{Key: livenessPrefix + c.Previous})
			}
		}
	}
	h.spawn(func(ctx context.Context) {
		h.Metrics.CountStoreCall("transaction", "claim")
		revision, err := h.Store.Commit(ctx, t)
		if err != nil {
			sleep(ctx, registerPause)
		}
		h.post(func(now time.Time) {
			h.claiming = false
			h.handleClaim(now, claims, revision, err)
		})
	})
}

// handleClaim handles the outcome of a claim.
func (h *Host) handleClaim(now time.Time, claims []ownership.Claim, revision int64, err error) {
	if err == nil && store.Era(revision) < h.table.Era {
		err = &store.RestoredError{Era: h.table.Era}
	}
	if err != nil {
		h.enterEraOf(now, err)
		h.Log.Info("not claimed", zap.Int("Backends", len(claims)), zap.Error(err))
		h.nextClaimAt = now.Add(claimPause) // until the watch has delivered the change that caused the conflict
		return
	}
	for _, c := range claims {
		h.table.Owners[c.Backend] = ownership.Owner{Record: h.table.RecordOf(c), Revision: revision}
		h.ensureOwned(now, c.Backend)
		h.Log.Info("claimed", zap.String("Backend", c.Backend), zap.String("Previous", c.Previous), zap.Int64("Term", revision))
	}
}

// releaseOwnership gives up all backend servers that this host owns. Successors wait for OwnerChangeDelay before they
// send orders.
func (h *Host) releaseOwnership(time.Time) {
	h.table.Stopping = true
	h.table.Self.Left = true
	self, expected := h.table.Self, h.table.Revision
	if !h.registered {
		return
	}
	h.spawn(func(ctx context.Context) {
		key := hostPrefix + self.Name
		h.Metrics.CountStoreCall("transaction", "stop")
		revision, err := h.Store.Commit(ctx, store.Transaction{
			Expected: []store.Entry{{Key: key, Revision: expected}},
			Writes:   []store.Write{{Key: key, Value: encode(self)}},
		})
		h.post(func(time.Time) {
			h.Log.Info("left", zap.Int64("Revision", revision), zap.Error(err))
			if err == nil {
				h.table.Left(revision)
			}
		})
	})
}

// encode encodes a record of the store.
func encode(record any) []byte {
	value, err := json.Marshal(record)
	if err != nil {
		panic(err) // the records are plain structs, which always encode
	}
	return value
}

// ownerAddress returns the peer address of a backend server's owner, unless the owner has left.
func (h *Host) ownerAddress(backend string) (string, bool) {
	owner, known := h.table.Owners[backend]
	if !known {
		return "", false
	}
	host, known := h.table.Hosts[owner.Record.Host]
	return host.Record.PeerAddress, known && !host.Record.Left
}
