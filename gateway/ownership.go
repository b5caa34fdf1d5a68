package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"go.uber.org/zap"

	"citronspread/store"
	"citronspread/tenure"
)

// Keys in the platform's store.
const (
	hostPrefix     = "citronspread/host/"
	livenessPrefix = "citronspread/liveness/" // liveness keys, under the hosts' leases
	ownerPrefix    = "citronspread/owner/"
)

// Times of taking part.
const (
	// firstClaims is left to all hosts to register when the system starts, so that backend servers spread evenly.
	firstClaims = 1200 * time.Millisecond
	// claimInterval is the time between two looks for backend servers without an owner.
	claimInterval = 200 * time.Millisecond
	// claimPause follows a claim that failed, longer than the pace of the watch.
	claimPause = 2 * watchPace
	// registerPause is waited for after a failed registration.
	registerPause = 300 * time.Millisecond
	// claimBatch bounds the claims of one transaction, which takes 32 rows: one for the own host and four a claim.
	claimBatch = 7
)

// stepOwnership registers, renews and claims, each when it is due. A host that stops renews on, so that its record is
// there until its successors have acted on it.
func (h *Host) stepOwnership(now time.Time) {
	if h.registered && !h.table.IsRegistered() {
		h.registered = false
		h.Log.Warn("registration lost", zap.String("Name", h.Name), zap.Duration("Age", now.Sub(h.table.RenewedAt)))
	}
	switch {
	case h.renewing:
	case !h.registered && !h.stopping.Load() && h.listedOK.Load():
		h.register()
	case h.registered && now.Sub(h.steppedAt) >= tenure.RenewEvery:
		h.renew(now)
	}
	if !h.registered || h.stopping.Load() || h.claiming || now.Before(h.claimAt) {
		return
	}
	h.claimAt = now.Add(claimInterval)
	if claims := h.table.Claims(now, h.backendsToOwn()); len(claims) > 0 {
		h.claim(claims[:min(len(claims), claimBatch)])
	}
}

// backendsToOwn returns the backend servers that take orders.
func (h *Host) backendsToOwn() []tenure.Backend {
	table := h.routes.Load()
	if table == nil {
		return nil
	}
	var backends []tenure.Backend
	for id, b := range h.view.backends {
		if b.isUsable() && table.state.Services[b.listing.Service].Engine != nil {
			backends = append(backends, tenure.Backend{ID: id, Zone: b.listing.Zone})
		}
	}
	return backends
}

// registration is what a registration wrote and read.
type registration struct {
	lease    int64
	begun    time.Time // of the transaction
	revision int64
	owners   map[string]tenure.Owner
}

// register writes the own host record and liveness key, and reads who owns what.
func (h *Host) register() {
	h.renewing = true
	self, expected := h.table.Self, h.table.Hosts[h.Name].Revision
	h.spawn(func(ctx context.Context) {
		r, err := h.registration(ctx, self, expected)
		if err != nil {
			sleep(ctx, registerPause)
		}
		h.post(func(now time.Time) {
			h.renewing = false
			if err != nil {
				h.Log.Warn("not registered", zap.String("Name", self.Name), zap.Int64("Expected", expected), zap.Error(err))
				h.noteConflict(now, err)
				return
			}
			h.registered, h.steppedAt, h.lease = true, now, r.lease
			if h.claimAt.IsZero() {
				h.claimAt = now.Add(firstClaims)
			}
			h.table.Owners = r.owners
			h.table.Registered(r.begun, r.revision)
			h.noteHosts()
			h.Log.Info("registered", zap.String("Name", self.Name), zap.String("Incarnation", self.Incarnation), zap.Int64("Revision", r.revision), zap.Int64("Lease", r.lease))
			if h.stopping.Load() {
				h.leave(now)
			}
		})
	})
}

func (h *Host) registration(ctx context.Context, self tenure.HostRecord, expected int64) (r registration, err error) {
	hostKey, livenessKey := hostPrefix+self.Name, livenessPrefix+self.Name
	r.owners = make(map[string]tenure.Owner)
	if r.lease, err = h.Store.Grant(ctx, tenure.LeaseTerm); err != nil {
		return registration{}, err
	}
	r.begun = h.Now()
	r.revision, err = h.Store.Commit(ctx, store.Transaction{
		Expected: []store.Entry{{Key: hostKey, Revision: expected}},
		Writes:   []store.Write{{Key: hostKey, Value: encode(self)}, {Key: livenessKey, Value: []byte(self.Incarnation), Lease: r.lease}},
	})
	if err != nil {
		return registration{}, err
	}
	owned, err := h.Store.List(ctx, ownerPrefix)
	if err != nil {
		return registration{}, err
	}
	for _, e := range owned.Entries {
		h.putOwner(r.owners, strings.TrimPrefix(e.Key, ownerPrefix), e)
	}
	return r, nil
}

// noteConflict takes in the own host record that a registration met: of a registration whose answer was lost, or of a
// process before that wrote it late.
func (h *Host) noteConflict(now time.Time, err error) {
	var conflict *store.ConflictError
	if errors.As(err, &conflict) && conflict.Current.Revision > 0 {
		h.written(now, conflict.Current)
	}
}

// renew keeps the lease, which proves that this host lives. Only while that is recent does it give orders.
func (h *Host) renew(now time.Time) {
	h.renewing, h.steppedAt = true, now
	lease := h.lease
	h.spawn(func(ctx context.Context) {
		begun := h.Now()
		err := h.Store.Keep(ctx, lease)
		h.post(func(now time.Time) {
			h.renewing = false
			h.renewed(now, begun, err)
		})
	})
}

func (h *Host) renewed(now, begun time.Time, err error) {
	age := now.Sub(h.table.RenewedAt)
	var ended *store.NotFoundError
	switch {
	case err == nil:
		if age > tenure.Validity {
			h.Log.Info("ownership regained", zap.Duration("Age", age))
		}
		h.table.Renewed(begun)
	case errors.As(err, &ended):
		// Nobody succeeds an owner before its latest renewal is out of date, so orders may go on meanwhile.
		h.registered = false
		h.Log.Warn("lease ended", zap.Duration("Age", age), zap.Int64("Lease", h.lease))
	default:
		h.steppedAt = now.Add(registerPause - tenure.RenewEvery)
		h.Log.Warn("not renewed", zap.Duration("Age", age), zap.Error(err))
	}
}

// noteHosts tells the traffic threads how many hosts share the budgets.
func (h *Host) noteHosts() {
	live := int64(len(h.table.Live()))
	if h.hosts.Swap(live) != live {
		h.viewChanged = true
		h.Log.Info("entry hosts changed", zap.Int64("Live", live))
	}
}

// decodeRecord decodes a record of an entry host.
func decodeRecord[T any](h *Host, e store.Entry) (record T, ok bool) {
	if err := json.Unmarshal(e.Value, &record); err != nil {
		h.Log.Error("record not readable", zap.String("Key", e.Key), zap.Int64("Revision", e.Revision), zap.Error(err))
		return record, false
	}
	return record, true
}

// putOwner decodes an owner record. A record that was seen in a newer state stays.
func (h *Host) putOwner(owners map[string]tenure.Owner, id string, e store.Entry) {
	if record, ok := decodeRecord[tenure.OwnerRecord](h, e); ok && e.Revision > owners[id].Revision {
		owners[id] = tenure.Owner{Record: record, Revision: e.Revision}
	}
}

// claim makes this host the owner of backend servers.
func (h *Host) claim(claims []tenure.Claim) {
	h.claiming = true
	own := hostPrefix + h.Name
	t := store.Transaction{Expected: []store.Entry{{Key: own, Revision: h.table.Revision}}}
	expected := map[string]bool{own: true}
	for _, c := range claims {
		t.Expected = append(t.Expected, store.Entry{Key: ownerPrefix + c.Backend, Revision: c.Revision})
		t.Writes = append(t.Writes, store.Write{Key: ownerPrefix + c.Backend, Value: encode(h.table.RecordOf(c))})
		if key := hostPrefix + c.Previous; c.Previous != "" && !expected[key] {
			expected[key] = true
			t.Expected = append(t.Expected, store.Entry{Key: key, Revision: c.PreviousRevision})
			if c.PreviousSilent {
				t.Expected = append(t.Expected, store.Entry{Key: livenessPrefix + c.Previous})
			}
		}
	}
	h.spawn(func(ctx context.Context) {
		revision, err := h.Store.Commit(ctx, t)
		if err != nil {
			sleep(ctx, registerPause)
		}
		h.post(func(now time.Time) {
			h.claiming = false
			h.claimed(now, claims, revision, err)
		})
	})
}

func (h *Host) claimed(now time.Time, claims []tenure.Claim, revision int64, err error) {
	if err != nil {
		h.Log.Info("not claimed", zap.Int("Backends", len(claims)), zap.Error(err))
		h.claimAt = now.Add(claimPause) // until the watch has told what is different
		return
	}
	for _, c := range claims {
		h.table.Owners[c.Backend] = tenure.Owner{Record: h.table.RecordOf(c), Revision: revision}
		h.own(now, c.Backend)
		h.Log.Info("claimed", zap.String("Backend", c.Backend), zap.String("Previous", c.Previous), zap.Int64("Term", revision))
	}
}

// leave gives up everything that this host owns. Successors wait for the turn of orders to end.
func (h *Host) leave(time.Time) {
	h.table.Stopping = true
	h.table.Self.Left = true
	self, expected := h.table.Self, h.table.Revision
	if !h.registered {
		return
	}
	h.spawn(func(ctx context.Context) {
		key := hostPrefix + self.Name
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
		panic(err) // plain structs always encode
	}
	return value
}

// ownerAddress returns the peer address of a backend server's owner.
func (h *Host) ownerAddress(backend string) (string, bool) {
	owner, known := h.table.Owners[backend]
	if !known {
		return "", false
	}
	host, known := h.table.Hosts[owner.Record.Host]
	return host.Record.PeerAddress, known && !host.Record.Left
}
