package entryhost

import (
	"context"
	"slices"
	"time"

	"citronspread/gossip"
	"citronspread/ledger"
	"citronspread/peer"
)

// peerHandler answers other entry hosts by asking the control thread.
type peerHandler struct {
	edge *edge
}

// ask posts an event and waits for its reply.
func ask[Reply any](ctx context.Context, e *edge, request event, reply <-chan Reply) (*Reply, error) {
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

// tell posts an event that needs no reply.
func tell(ctx context.Context, e *edge, notice event) (*peer.Empty, error) {
	select {
	case e.events <- notice:
		return &peer.Empty{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-e.ctx.Done():
		return nil, e.ctx.Err()
	}
}

// Exchange compares soft state with a peer.
func (h *peerHandler) Exchange(ctx context.Context, request *peer.ExchangeRequest) (*peer.ExchangeReply, error) {
	reply := make(chan peer.ExchangeReply, 1)
	return ask(ctx, h.edge, exchangeAsked{request: request, reply: reply}, reply)
}

// exchangeAsked is a peer's request to compare soft state.
type exchangeAsked struct {
	request *peer.ExchangeRequest
	reply   chan peer.ExchangeReply
}

func (e exchangeAsked) apply(c *control, now time.Time) {
	var reply peer.ExchangeReply
	if digest := c.table.Digest(); digest != e.request.Digest {
		reply.Digest = &digest
		reply.Summaries = c.table.Summaries(e.request.Digest)
	}
	if e.request.Zone == c.self.Zone {
		reply.Beats = c.members.BeatsNewer(e.request.Beats)
		reply.Wanted = c.members.BeatsWanted(e.request.Beats)
	}
	e.reply <- reply
}

// Push takes items from a peer and returns those it asks for.
func (h *peerHandler) Push(ctx context.Context, request *peer.PushRequest) (*peer.PushReply, error) {
	reply := make(chan peer.PushReply, 1)
	return ask(ctx, h.edge, pushAsked{request: request, reply: reply}, reply)
}

// pushAsked holds items and heartbeats from a peer.
type pushAsked struct {
	request *peer.PushRequest
	reply   chan peer.PushReply
}

func (e pushAsked) apply(c *control, now time.Time) {
	if e.request.Zone == c.self.Zone {
		c.members.Hear(now, e.request.Beats)
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

// Unsent answers whether an order may still be sent from here.
func (h *peerHandler) Unsent(ctx context.Context, request *peer.UnsentRequest) (*peer.UnsentReply, error) {
	reply := make(chan peer.UnsentReply, 1)
	return ask(ctx, h.edge, unsentAsked{request: request, reply: reply}, reply)
}

// unsentAsked is a successor's question about an order.
type unsentAsked struct {
	request *peer.UnsentRequest
	reply   chan peer.UnsentReply
}

func (e unsentAsked) apply(c *control, now time.Time) {
	if e.request.Issuer != c.self.Incarnation {
		e.reply <- peer.UnsentReply{Issuer: c.self.Incarnation}
		return
	}
	c.step(now, ledger.UnsentAsked{OrderID: e.request.OrderID, Token: c.asks.add(e.reply)})
}

// Wake takes a demand for a model version.
func (h *peerHandler) Wake(ctx context.Context, request *peer.WakeRequest) (*peer.Empty, error) {
	return tell(ctx, h.edge, wakeAsked{wake: request.Wake, isForeign: request.Foreign, isFinal: request.Final})
}

// Load takes a lead's wish to load.
func (h *peerHandler) Load(ctx context.Context, request *peer.LoadRequest) (*peer.Empty, error) {
	if request.Adapter != "" {
		id := adapterID{backend: request.Backend, key: request.Key, adapter: request.Adapter}
		return tell(ctx, h.edge, adapterAsked{id: id})
	}
	return tell(ctx, h.edge, loadAsked{key: request.Key, backend: request.Backend, adapters: request.Adapters})
}

// Permit answers a request to load from the weight store.
func (h *peerHandler) Permit(ctx context.Context, request *peer.PermitRequest) (*peer.PermitReply, error) {
	reply := make(chan peer.PermitReply, 1)
	return ask(ctx, h.edge, permitAsked{request: request, reply: reply}, reply)
}

// permitAsked is a lead's request for a load permit.
type permitAsked struct {
	request *peer.PermitRequest
	reply   chan peer.PermitReply
}

func (e permitAsked) apply(c *control, now time.Time) {
	e.reply <- peer.PermitReply{Granted: c.permits.Ask(now, e.request.Wake, e.request.Backend)}
}

// Usage takes a router's report of the use of owned replicas.
func (h *peerHandler) Usage(ctx context.Context, request *peer.UsageRequest) (*peer.Empty, error) {
	return tell(ctx, h.edge, peerUsageReported{from: request.From, usages: request.Usages})
}
