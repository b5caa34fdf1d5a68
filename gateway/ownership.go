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
	hostPrefix  = "citronspread/host/"
	ownerPrefix = "citronspread/owner/"
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
	// claimBatch bounds the claims of one transaction, which takes 32 rows of each kind.
	claimBatch = 10
)

// stepOwnership registers, renews, observes, deposes and claims, each when it is due.
func (h *Host) stepOwnership(now time.Time) {
	if h.stopping.Load() {
		return
	}
	switch {
	case h.renewing:
	case !h.registered:
		h.register()
	case now.Sub(h.steppedAt) >= tenure.RenewEvery:
		h.renew(now)
	}
	if !h.registered || h.claiming {
		return
	}
	if silent := h.table.Deposals(now); len(silent) > 0 && !now.Before(h.claimAt) {
		h.depose(silent[0])
		return
	}
	if now.Before(h.claimAt) {
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

// register writes the own host record and reads who owns what.
func (h *Host) register() {
	h.renewing = true
	self := h.table.Self
	h.spawn(func(ctx context.Context) {
		begun := h.Now()
		revision, owners, err := h.registration(ctx, self)
		if err != nil {
			sleep(ctx, registerPause)
		}
		h.post(func(now time.Time) {
			h.renewing = false
			if err != nil {
				h.Log.Warn("not registered", zap.String("Name", self.Name), zap.Error(err))
				return
			}
			h.registered, h.steppedAt = true, now
			if h.claimAt.IsZero() {
				h.claimAt = now.Add(firstClaims)
			}
			h.table.Owners = owners
			h.table.Renewed(begun, revision)
			h.noteHosts(now)
			h.Log.Info("registered", zap.String("Name", self.Name), zap.String("Incarnation", self.Incarnation), zap.Int64("Revision", revision))
		})
	})
}

func (h *Host) registration(ctx context.Context, self tenure.HostRecord) (int64, map[string]tenure.Owner, error) {
	key := hostPrefix + self.Name
	current, err := h.Store.Get(ctx, key)
	if err != nil {
		return 0, nil, err
	}
	revision, err := h.Store.Commit(ctx, store.Transaction{
		Expected: []store.Entry{{Key: key, Revision: current.Revision}},
		Writes:   []store.Entry{{Key: key, Value: encode(self)}},
	})
	if err != nil {
		return 0, nil, err
	}
	owned, err := h.Store.List(ctx, ownerPrefix)
	if err != nil {
		return 0, nil, err
	}
	owners := make(map[string]tenure.Owner)
	for _, e := range owned.Entries {
		h.putOwner(owners, e)
	}
	return revision, owners, nil
}

// renew proves that this host lives. Only while that is recent does it give orders.
func (h *Host) renew(now time.Time) {
	h.renewing, h.steppedAt = true, now
	h.table.Self.Renewal++
	self, expected := h.table.Self, h.table.Revision
	h.spawn(func(ctx context.Context) {
		begun := h.Now()
		key := hostPrefix + self.Name
		revision, err := h.Store.Commit(ctx, store.Transaction{
			Expected: []store.Entry{{Key: key, Revision: expected}},
			Writes:   []store.Entry{{Key: key, Value: encode(self)}},
		})
		h.post(func(now time.Time) {
			h.renewing = false
			h.renewed(now, begun, revision, err)
		})
	})
}

func (h *Host) renewed(now, begun time.Time, revision int64, err error) {
	if err == nil {
		if now.Sub(h.table.RenewedAt) > tenure.Validity {
			h.Log.Info("ownership regained", zap.Int64("Revision", revision))
		}
		h.table.Renewed(begun, revision)
		return
	}
	h.Log.Warn("not renewed", zap.Duration("Age", now.Sub(h.table.RenewedAt)), zap.Error(err))
	h.steppedAt = now.Add(registerPause - tenure.RenewEvery)
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return
	}
	var record tenure.HostRecord
	if decodeErr := json.Unmarshal(conflict.Current.Value, &record); decodeErr != nil {
		h.Log.Error("host record not readable", zap.String("Key", conflict.Key), zap.Error(decodeErr))
	}
	if record.Incarnation == h.table.Self.Incarnation && !record.Deposed {
		h.table.Revision = conflict.Current.Revision // an earlier renewal whose answer was lost
		return
	}
	h.table.Lost()
	h.registered = false
	h.Log.Warn("ownership lost", zap.Bool("Deposed", record.Deposed), zap.Int64("Revision", conflict.Current.Revision))
}

// noteHosts tells the traffic threads how many hosts share the budgets.
func (h *Host) noteHosts(now time.Time) {
	live := int64(len(h.table.Live(now)))
	if h.hosts.Swap(live) != live {
		h.viewChanged = true
		h.Log.Info("entry hosts changed", zap.Int64("Live", live))
	}
}

// putHost decodes a host record. A record that was seen in a newer state stays.
func (h *Host) putHost(hosts map[string]tenure.Host, e store.Entry) {
	var record tenure.HostRecord
	if err := json.Unmarshal(e.Value, &record); err != nil {
		h.Log.Error("host record not readable", zap.String("Key", e.Key), zap.Error(err))
		return
	}
	if e.Revision > hosts[record.Name].Revision {
		hosts[record.Name] = tenure.Host{Record: record, Revision: e.Revision}
	}
}

// putOwner decodes an owner record. A record that was seen in a newer state stays.
func (h *Host) putOwner(owners map[string]tenure.Owner, e store.Entry) {
	var record tenure.OwnerRecord
	if err := json.Unmarshal(e.Value, &record); err != nil {
		h.Log.Error("owner record not readable", zap.String("Key", e.Key), zap.Error(err))
		return
	}
	id := strings.TrimPrefix(e.Key, ownerPrefix)
	if e.Revision > owners[id].Revision {
		owners[id] = tenure.Owner{Record: record, Revision: e.Revision}
	}
}

// depose marks a host that has been silent for longer than its validity.
func (h *Host) depose(silent tenure.Host) {
	h.claiming = true
	record := silent.Record
	record.Deposed = true
	key, own, ownRevision := hostPrefix+record.Name, hostPrefix+h.Name, h.table.Revision
	h.spawn(func(ctx context.Context) {
		revision, err := h.Store.Commit(ctx, store.Transaction{
			Expected: []store.Entry{{Key: key, Revision: silent.Revision}, {Key: own, Revision: ownRevision}},
			Writes:   []store.Entry{{Key: key, Value: encode(record)}},
		})
		h.post(func(now time.Time) {
			h.claiming = false
			h.Log.Info("deposed", zap.String("Host", record.Name), zap.Int64("Seen", silent.Revision),
				zap.Duration("Silent", now.Sub(silent.Since)), zap.Int64("Revision", revision), zap.Error(err))
			if err == nil {
				h.table.Hosts[record.Name] = tenure.Host{Record: record, Revision: revision, Since: now}
				h.noteHosts(now)
				return
			}
			h.claimAt = now.Add(claimPause) // until the watch has told what is different
		})
	})
}

// claim makes this host the owner of backend servers.
func (h *Host) claim(claims []tenure.Claim) {
	h.claiming = true
	own := hostPrefix + h.Name
	t := store.Transaction{Expected: []store.Entry{{Key: own, Revision: h.table.Revision}}}
	expected := map[string]bool{own: true}
	for _, c := range claims {
		t.Expected = append(t.Expected, store.Entry{Key: ownerPrefix + c.Backend, Revision: c.Revision})
		t.Writes = append(t.Writes, store.Entry{Key: ownerPrefix + c.Backend, Value: encode(h.table.RecordOf(c))})
		if key := hostPrefix + c.Previous; c.Previous != "" && !expected[key] {
			expected[key] = true
			t.Expected = append(t.Expected, store.Entry{Key: key, Revision: c.PreviousRevision})
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
			Writes:   []store.Entry{{Key: key, Value: encode(self)}},
		})
		h.Log.Info("left", zap.Int64("Revision", revision), zap.Error(err))
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
	return host.Record.PeerAddress, known && !host.Record.Left && !host.Record.Deposed
}
