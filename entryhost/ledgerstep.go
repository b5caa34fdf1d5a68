package entryhost

import (
	"time"

	"go.uber.org/zap"

	"citronspread/ledger"
	"citronspread/model"
	"citronspread/peer"
)

// ledgerEvent passes an event on to the ledger.
type ledgerEvent struct {
	event ledger.Event
}

func (e ledgerEvent) apply(c *control, now time.Time) { c.step(now, e.event) }

// unsentReplied is a peer's answer whether an order may still be sent.
type unsentReplied struct {
	issuer  model.Incarnation
	orderID string
	reply   peer.UnsentReply
}

func (e unsentReplied) apply(c *control, now time.Time) {
	if e.reply.Issuer != e.issuer {
		c.members.Replaced(e.issuer)
		return
	}
	c.step(now, ledger.UnsentAnswered{OrderID: e.orderID, Issuer: e.issuer, WillNotSend: e.reply.WillNotSend})
}

// step feeds one event into the ledger and hands its actions to the edge.
func (c *control) step(now time.Time, e ledger.Event) {
	c.metrics.ledgerSteps.Add(1)
	c.perform(now, c.ledger.Step(now, e))
}

func (c *control) perform(now time.Time, actions []ledger.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case ledger.ReadRecord:
			c.edge.readRecord(a)
		case ledger.WriteRecord:
			c.edge.writeRecord(a)
		case ledger.SendOrder:
			c.edge.sendOrder(a)
		case ledger.ObserveEngine:
			c.edge.observe(findFence(actions, a.Backend), &a)
		case ledger.FenceEngine:
			if !isObserved(actions, a.Backend) {
				c.edge.observe(&a, nil)
			}
		case ledger.AskUnsent:
			c.askUnsent(now, a)
		case ledger.AnswerUnsent:
			c.asks.answer(a)
		case ledger.LoadRefused:
			c.loadRefused(now, a)
		case ledger.Violation:
			c.violation(a)
		}
	}
}

// askUnsent asks the issuer of an order, unless the platform has not listed its host for long.
func (c *control) askUnsent(now time.Time, a ledger.AskUnsent) {
	if c.hosts.isAbsent(now, a.Name) {
		c.members.Replaced(a.Issuer)
		return
	}
	c.edge.askUnsent(a)
}

func findFence(actions []ledger.Action, backend string) *ledger.FenceEngine {
	for _, action := range actions {
		if f, ok := action.(ledger.FenceEngine); ok && f.Backend == backend {
			return &f
		}
	}
	return nil
}

func isObserved(actions []ledger.Action, backend string) bool {
	for _, action := range actions {
		if o, ok := action.(ledger.ObserveEngine); ok && o.Backend == backend {
			return true
		}
	}
	return false
}

func (c *control) violation(v ledger.Violation) {
	c.metrics.violations.Add(1)
	c.log.Error("invariant violated", zap.String("Invariant", v.Invariant), zap.String("Detail", v.Detail))
}

// pendingAsks holds the questions of peers that the ledger has not answered yet.
type pendingAsks struct {
	next    int64
	replies map[int64]chan peer.UnsentReply
	self    model.Incarnation
}

func newPendingAsks(self model.Incarnation) *pendingAsks {
	return &pendingAsks{replies: make(map[int64]chan peer.UnsentReply), self: self}
}

func (p *pendingAsks) add(reply chan peer.UnsentReply) int64 {
	p.next++
	p.replies[p.next] = reply
	return p.next
}

func (p *pendingAsks) answer(a ledger.AnswerUnsent) {
	reply, ok := p.replies[a.Token]
	if !ok {
		return
	}
	delete(p.replies, a.Token)
	reply <- peer.UnsentReply{Issuer: p.self, WillNotSend: a.WillNotSend}
}
