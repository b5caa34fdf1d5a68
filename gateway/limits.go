package gateway

import (
	"context"
	"maps"
	"time"

	"go.uber.org/zap"

	"citronspread/membership"
	"citronspread/model"
	"citronspread/ownership"
	"citronspread/peer"
	"citronspread/ratelimit"
	"citronspread/routing"
)

const (
	// allowanceTimeout limits a request for an allowance.
	allowanceTimeout = 250 * time.Millisecond
	// publishInterval is the shortest time between two messages to all hosts about the limit of one backend server. Hosts
	// learn of other changes with their allowances. It is minPublishInterval if the limit is stated anew or withdrawn.
	publishInterval    = 5 * time.Second
	minPublishInterval = time.Second
	// limitCheckInterval is the time between two checks for limits of backend servers that are gone.
	limitCheckInterval = time.Second
	// maxLeaderRenewalAge is the age of a leader's lease from which it asks the hosts that may lead after it whether its lease
	// has ended. Leases end later.
	maxLeaderRenewalAge = 2 * ownership.RenewInterval
	// maxDeputies bounds the hosts that are asked, of the zone of the backend server and of the others: hosts of one zone may all be
	// turned away by the store.
	maxDeputies = 3
	// deputyTimeout limits the calls to them.
	deputyTimeout = 100 * time.Millisecond
	// deputyInterval is how long none of them is asked again after none leads the limit. A new leader gives nothing for as long.
	deputyInterval = 500 * time.Millisecond
)

// deputy is the host that leads a limit in place of this one.
type deputy struct {
	address string    // empty if none of those asked does
	at      time.Time // when this was found out
}

// published is what the leader of a limit has told other hosts last of its backend server.
type published struct {
	stated    bool
	perSecond float64
	leaving   bool
	born      int64 // of the incarnation that is leaving
	at        time.Time
}

// RecordLimit records the limit that a backend server stated in its response to a request, in requests per second, or that
// it stated none.
func (d *Dispatcher) RecordLimit(now time.Time, backend, id string, perSecond float64, stated bool) {
	if !d.host.router.RecordLimit(model.BackendStatement{Backend: backend, PerSecond: perSecond, Stated: stated, At: now}) {
		return
	}
	if !stated {
		d.host.Log.Info("limit withdrawn", zap.String("Backend", backend), zap.String("Request", id))
		return
	}
	d.host.Log.Info("limit stated", zap.String("Backend", backend), zap.Float64("PerSecond", perSecond), zap.String("Request", id))
}

// RecordInvalidLimit logs, once for each backend server, a limit that could not be read.
func (d *Dispatcher) RecordInvalidLimit(_ time.Time, backend, id string, err error) {
	if _, logged := d.invalidLimits.LoadOrStore(backend, true); !logged {
		d.host.Log.Warn("limit not read", zap.String("Backend", backend), zap.String("Request", id), zap.Error(err))
	}
}

// RequestAllowances sends requests for allowances to the leaders of the limits, and retains the statements of backend servers
// for the hosts that follow this one. It implements routing.AllowanceRequester.
func (h *Host) RequestAllowances(requests []routing.AllowanceRequest) {
	for _, r := range requests {
		if r.Count == 0 {
			h.history.addStatement(r.Limit)
		}
		h.spawn(func(ctx context.Context) { h.requestAllowances(ctx, r) })
	}
}

// requestAllowances sends one request for an allowance and passes the reply to the router.
func (h *Host) requestAllowances(ctx context.Context, r routing.AllowanceRequest) {
	ctx, cancel := context.WithTimeout(ctx, allowanceTimeout)
	defer cancel()
	backend := r.Limit.Backend
	request := &peer.AllowanceRequest{From: h.Name, Count: r.Count, Queued: r.Queued, Limit: r.Limit, SentAt: h.Now()}
	address, err := h.findLimitLeader(ctx, backend)
	reply := &peer.AllowanceReply{}
	switch {
	case err != nil:
	case address == h.PeerAddress:
		reply, err = h.allotOwn(ctx, request)
	default:
		h.Metrics.CountAllowanceCall()
		reply, err = h.Peers.Allowance(ctx, address, request)
	}
	now := h.Now()
	if err != nil {
		h.Log.Info("no allowance", zap.String("Backend", backend), zap.String("Leader", address), zap.Int("Count", r.Count),
			zap.Float64("PerSecond", r.Limit.PerSecond), zap.Duration("StatedFor", now.Sub(r.Limit.At)), zap.Error(err))
		if r.Count > 0 {
			h.router.AllowanceFailed(now, backend, int(max(1, h.hosts.live.Load())))
		}
		return
	}
	if r.Count == 0 {
		return
	}
	known := statementsOnOwnClock(now, reply.SentAt, []model.BackendStatement{reply.Limit})[0]
	h.Log.Info("allowance", zap.String("Backend", backend), zap.String("Leader", address), zap.Int("Count", reply.Allowance.Count), zap.Int("Of", r.Count),
		zap.Float64("PerSecond", known.PerSecond), zap.Duration("StatedFor", now.Sub(known.At)), zap.Duration("RetryAfter", reply.Allowance.RetryAfter))
	h.router.ApplyAllowance(now, known, reply.Allowance)
}

// findLimitLeader returns the peer address of the host that divides the limit of a backend server, as limitLeader.
func (h *Host) findLimitLeader(ctx context.Context, backend string) (string, error) {
	return query(ctx, h, func(time.Time) string { return h.limitLeader(backend, h.table.Live()) })
}

// allotOwn gives an allowance as the leader of a limit, to this host or to another one that asks it. If its lease may have ended it
// first asks the hosts that may lead the limit then, since others may ask one of them already.
func (h *Host) allotOwn(ctx context.Context, request *peer.AllowanceRequest) (*peer.AllowanceReply, error) {
	backend := request.Limit.Backend
	deputies, err := query(ctx, h, func(now time.Time) []string { return h.limitDeputies(now, backend) })
	if err != nil {
		return nil, err
	}
	if len(deputies) > 0 {
		address, reply := h.askDeputies(ctx, deputies, request)
		h.post(func(now time.Time) { h.recordDeputy(now, backend, address) })
		if reply != nil {
			return reply, nil
		}
	}
	return query(ctx, h, func(now time.Time) *peer.AllowanceReply { return h.allot(now, request) })
}

// askDeputies asks hosts at the same time and returns the one that leads the limit, with its reply.
func (h *Host) askDeputies(ctx context.Context, deputies []string, request *peer.AllowanceRequest) (address string, reply *peer.AllowanceReply) {
	ctx, cancel := context.WithTimeout(ctx, deputyTimeout)
	defer cancel()
	asked := *request
	asked.Deputy, asked.SentAt = true, h.Now()
	type result struct {
		address string
		reply   *peer.AllowanceReply
	}
	results := make(chan result, len(deputies))
	for _, d := range deputies {
		h.Metrics.CountAllowanceCall()
		h.spawn(func(context.Context) {
			reply, err := h.Peers.Allowance(ctx, d, &asked)
			if err != nil {
				h.Log.Info("deputy of a limit not reached", zap.String("Backend", request.Limit.Backend), zap.String("Deputy", d), zap.Error(err))
				reply = nil
			}
			results <- result{d, reply}
		})
	}
	for range deputies {
		select {
		case r := <-results:
			if r.reply != nil && !r.reply.NotLeader {
				return r.address, r.reply
			}
		case <-ctx.Done():
			return "", nil
		}
	}
	return "", nil
}

// recordDeputy records which host leads a limit in place of this one.
func (h *Host) recordDeputy(now time.Time, backend, address string) {
	if h.deputies[backend].address != address {
		h.Log.Info("deputy of a limit", zap.String("Backend", backend), zap.String("Deputy", address))
	}
	h.deputies[backend] = deputy{address: address, at: now}
}

// limitDeputies returns the peer addresses of the hosts that may lead the limit of a backend server once the lease of this host, the
// leader, has ended: the one that did last, or else the first of the server's zone and of the others. It returns none while the lease
// can't have ended, and for deputyInterval after none of them did.
func (h *Host) limitDeputies(now time.Time, backend string) []string {
	if !h.table.RenewedAt.IsZero() && now.Sub(h.table.RenewedAt) < maxLeaderRenewalAge {
		delete(h.deputies, backend)
		return nil
	}
	last, asked := h.deputies[backend]
	switch {
	case asked && last.address != "":
		return []string{last.address}
	case asked && now.Sub(last.at) < deputyInterval:
		return nil
	}
	zone := h.Zone
	if b := h.view.known(backend); b != nil {
		zone = b.listing.Zone
	}
	var addresses []string
	local, remote := 0, 0
	for _, p := range membership.Ranked(h.table.Live(), limitKey(backend)) {
		count := &remote
		if p.Zone == zone {
			count = &local
		}
		if p.Name != h.Name && *count < maxDeputies {
			*count++
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}

// limitKey returns the key by which the leader of the limit of a backend server is chosen.
func limitKey(backend string) string { return "limit/" + backend }

// limitLeader returns the peer address of the host that divides the limit of a backend server: one of the server's
// zone, which reaches it even if the zone is cut off, or any other if the zone has none.
func (h *Host) limitLeader(backend string, live []model.Peer) string {
	if b := h.view.known(backend); b != nil {
		var local []model.Peer
		for _, p := range live {
			if p.Zone == b.listing.Zone {
				local = append(local, p)
			}
		}
		if len(local) > 0 {
			live = local
		}
	}
	leader, found := membership.Leader(live, limitKey(backend))
	if !found {
		return h.PeerAddress
	}
	return leader.Address
}

// Allowance gives an allowance. This host is the leader of the backend server's limit, unless it is asked as a deputy.
func (p *platformHandler) Allowance(ctx context.Context, request *peer.AllowanceRequest) (*peer.AllowanceReply, error) {
	received := *request
	received.Limit = statementsOnOwnClock(p.host.Now(), request.SentAt, []model.BackendStatement{request.Limit})[0]
	if !request.Deputy {
		return p.host.allotOwn(ctx, &received)
	}
	return query(ctx, p.host, func(now time.Time) *peer.AllowanceReply {
		if p.host.limitLeader(request.Limit.Backend, p.host.table.Live()) != p.host.PeerAddress {
			return &peer.AllowanceReply{NotLeader: true}
		}
		return p.host.allot(now, &received)
	})
}

// allot gives an allowance as the leader of a limit.
func (h *Host) allot(now time.Time, request *peer.AllowanceRequest) *peer.AllowanceReply {
	backend := request.Limit.Backend
	h.router.MergeStatements(now, []model.BackendStatement{request.Limit})
	known := h.router.Statement(backend)
	h.publishStatement(now, known)
	a := h.allocators[backend]
	if !known.Stated {
		delete(h.allocators, backend)
		return &peer.AllowanceReply{Limit: known, SentAt: now}
	}
	if a == nil {
		a = ratelimit.NewAllocator(now, known.PerSecond)
		h.allocators[backend] = a
		h.Log.Info("leading limit", zap.String("Backend", backend), zap.Float64("PerSecond", known.PerSecond))
	}
	a.SetLimit(now, known.PerSecond)
	return &peer.AllowanceReply{Limit: known, Allowance: a.Take(now, ratelimit.Request{Host: request.From, Count: request.Count, Queued: request.Queued}), SentAt: now}
}

// publishStatement tells the hosts of all zones that may be relays, which pass it on to the hosts that follow them, of a limit
// that was stated, changed or withdrawn, and of a backend server that is leaving. Without it each host of a large fleet would
// first send a request.
func (h *Host) publishStatement(now time.Time, l model.BackendStatement) {
	last, known := h.published[l.Backend]
	isLeaving := !l.LeavingAt.IsZero() && (!last.leaving || last.born < l.Born)
	switch {
	case isLeaving: // stated once by each incarnation
	case last.stated == l.Stated && last.perSecond == l.PerSecond:
		return
	case known && now.Sub(last.at) < minPublishInterval, known && last.stated == l.Stated && now.Sub(last.at) < publishInterval:
		return
	}
	h.published[l.Backend] = published{stated: l.Stated, perSecond: l.PerSecond, leaving: !l.LeavingAt.IsZero(), born: l.Born, at: now}
	h.history.addStatement(l)
	addresses := h.allRelays()
	h.spawn(func(ctx context.Context) {
		failed := h.sendToAll(ctx, addresses, func(ctx context.Context, address string) error {
			return h.Peers.Limits(ctx, address, &peer.LimitsRequest{Limits: []model.BackendStatement{l}, SentAt: h.Now()})
		})
		if failed > 0 {
			h.Log.Info("limit not told", zap.String("Backend", l.Backend), zap.Int64("Peers", failed), zap.Int("Of", len(addresses)))
		}
	})
}

// Limits merges statements that the leaders of the backend servers' limits have published.
func (p *platformHandler) Limits(_ context.Context, request *peer.LimitsRequest) (*peer.Empty, error) {
	p.host.mergeStatements(request.SentAt, request.Limits)
	return &peer.Empty{}, nil
}

// expireLimits removes the allocators that no host uses any more and the limits of backend servers that are gone.
func (h *Host) expireLimits(now time.Time) {
	if now.Sub(h.limitsCheckedAt) < limitCheckInterval {
		return
	}
	h.limitsCheckedAt = now
	for backend, a := range h.allocators {
		if a.IsIdle(now) {
			delete(h.allocators, backend)
		}
	}
	maps.DeleteFunc(h.deputies, func(_ string, d deputy) bool { return now.Sub(d.at) > publishInterval })
	for backend, l := range h.published {
		if h.view.known(backend) == nil && now.Sub(l.at) > publishInterval {
			delete(h.published, backend)
		}
	}
	h.router.RetainStatements(now, func(backend string) (born int64, found bool) {
		if b := h.view.known(backend); b != nil {
			return b.listing.Life.Born, true
		}
		return 0, false
	})
}
