package entryhost

import (
	"context"
	"slices"
	"time"

	"citronspread/gossip"
	"citronspread/ledger"
	"citronspread/peer"
)

// peerHandler serves the calls of other entry hosts by posting events to the control thread.
type peerHandler struct {
	executor *executor
}

// call sends an event to the control thread and waits for its reply.
func call[Reply any](ctx context.Context, e *executor, request event, reply <-chan Reply) (*Reply, error) {
	select {
	case e.events <- request:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-e.ctx.Done():
		return nil, e.ctx.Err()
	}
	select {
	case r := <-reply:
		return &r, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-e.ctx.Done():
		return nil, e.ctx.Err()
	}
}

// notify sends an event that has no reply to the control thread.
func notify(ctx context.Context, e *executor, notice event) (*peer.Empty, error) {
	select {
	case e.events <- notice:
		return &peer.Empty{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-e.ctx.Done():
		return nil, e.ctx.Err()
	}
}

// Exchange compares the digest of a peer's soft state with this host's.
func (h *peerHandler) Exchange(ctx context.Context, request *peer.ExchangeRequest) (*peer.ExchangeReply, error) {
	reply := make(chan peer.ExchangeReply, 1)
	return call(ctx, h.executor, exchangeRequested{request: request, reply: reply}, reply)
}

// exchangeRequested is a peer's request to compare soft state. Heartbeats are exchanged only within a zone.
type exchangeRequested struct {
	request *peer.ExchangeRequest
	reply   chan peer.ExchangeReply
}

func (e exchangeRequested) apply(c *control, now time.Time) {
	var reply peer.ExchangeReply
	if digest := c.table.Digest(); digest != e.request.Digest {
		reply.Digest = &digest
		reply.Summaries = c.table.Summaries(e.request.Digest)
	}
	if e.request.Zone == c.self.Zone {
		reply.Beats = c.members.NewerHeartbeats(e.request.Beats)
		reply.Wanted = c.members.MissingHeartbeats(e.request.Beats)
	}
	e.reply <- reply
}

// Push merges items from a peer and returns the items that it requests.
func (h *peerHandler) Push(ctx context.Context, request *peer.PushRequest) (*peer.PushReply, error) {
	reply := make(chan peer.PushReply, 1)
	return call(ctx, h.executor, pushRequested{request: request, reply: reply}, reply)
}

// pushRequested holds items and heartbeats from a peer.
type pushRequested struct {
	request *peer.PushRequest
	reply   chan peer.PushReply
}

func (e pushRequested) apply(c *control, now time.Time) {
	if e.request.Zone == c.self.Zone {
		c.members.Merge(now, e.request.Beats)
	}
	c.merge(now, e.request.Items)
	var items []gossip.Item
	if len(e.request.Want) > 0 {
		items = c.table.Select(e.request.Want)
	}
	if slices.Contains(e.request.Want, hostListID) {
		items = append(items, c.hostListItem()...)
	}
	e.reply <- peer.PushReply{Items: items}
}

// QueryUnsent reports whether this host may still send an order.
func (h *peerHandler) QueryUnsent(ctx context.Context, request *peer.UnsentRequest) (*peer.UnsentReply, error) {
	reply := make(chan peer.UnsentReply, 1)
	return call(ctx, h.executor, unsentQueryReceived{request: request, reply: reply}, reply)
}

// unsentQueryReceived is the query of a backend server's new owner about an order of a previous one.
type unsentQueryReceived struct {
	request *peer.UnsentRequest
	reply   chan peer.UnsentReply
}

func (e unsentQueryReceived) apply(c *control, now time.Time) {
	if e.request.Issuer != c.self.Incarnation {
		e.reply <- peer.UnsentReply{Issuer: c.self.Incarnation}
		return
	}
	c.step(now, ledger.UnsentQueried{OrderID: e.request.OrderID, Token: c.unsentQueries.add(e.reply)})
}

// SendDemand receives a load demand.
func (h *peerHandler) SendDemand(ctx context.Context, request *peer.DemandRequest) (*peer.Empty, error) {
	return notify(ctx, h.executor, loadDemandReceived{demand: request.Wake, isFromOtherZone: request.Foreign, isFinal: request.Final})
}

// RequestLoad receives a leader's request to load a model version or an adapter.
func (h *peerHandler) RequestLoad(ctx context.Context, request *peer.LoadRequest) (*peer.Empty, error) {
	if request.Adapter != "" {
		id := adapterID{backend: request.Backend, key: request.Key, adapter: request.Adapter}
		return notify(ctx, h.executor, adapterLoadRequested{id: id})
	}
	return notify(ctx, h.executor, loadRequested{key: request.Key, backend: request.Backend, adapters: request.Adapters})
}

// Permit replies to a request to load from the weight store.
func (h *peerHandler) Permit(ctx context.Context, request *peer.PermitRequest) (*peer.PermitReply, error) {
	reply := make(chan peer.PermitReply, 1)
	return call(ctx, h.executor, permitRequested{request: request, reply: reply}, reply)
}

// permitRequested is a leader's request for a permit to load from the weight store.
type permitRequested struct {
	request *peer.PermitRequest
	reply   chan peer.PermitReply
}

func (e permitRequested) apply(c *control, now time.Time) {
	e.reply <- peer.PermitReply{Granted: c.permits.Request(now, e.request.Wake, e.request.Backend)}
}

// ReportUsage receives another entry host's usage of owned replicas.
func (h *peerHandler) ReportUsage(ctx context.Context, request *peer.UsageRequest) (*peer.Empty, error) {
	return notify(ctx, h.executor, peerUsageReported{from: request.From, usages: request.Usages})
}
