package entryhost

import (
	"time"

	"go.uber.org/zap"

	"citronspread/ledger"
	"citronspread/model"
	"citronspread/peer"
)

// ledgerEvent is an event for the ledger.
type ledgerEvent struct {
	event ledger.Event
}

func (e ledgerEvent) apply(c *control, now time.Time) { c.step(now, e.event) }

// unsentReplied is a peer's reply to the query whether it may still send an order.
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

// step applies one event to the ledger and performs the resulting actions.
func (c *control) step(now time.Time, e ledger.Event) {
	c.metrics.ledgerSteps.Add(1)
	c.perform(now, c.ledger.Step(now, e))
}

// perform performs the actions of a ledger step. An engine that is to be fenced and observed receives the fencing token
// first.
func (c *control) perform(now time.Time, actions []ledger.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case ledger.ReadRecord:
			c.executor.readRecord(a)
		case ledger.WriteRecord:
			c.executor.writeRecord(a)
		case ledger.SendOrder:
			c.executor.sendOrder(a)
		case ledger.ObserveEngine:
			c.executor.observe(findFence(actions, a.Backend), &a)
		case ledger.FenceEngine:
			if !isObserved(actions, a.Backend) {
				c.executor.observe(&a, nil)
			}
		case ledger.QueryUnsent:
			c.queryUnsent(now, a)
		case ledger.AnswerUnsent:
			c.unsentQueries.reply(a)
		case ledger.LoadRefused:
			c.recordLoadRefused(now, a)
		case ledger.Violation:
			c.reportViolation(a)
		}
	}
}

// queryUnsent sends the issuer of an order the query whether it may still send the order. An issuer whose host has not
// been listed for absenceTimeout is marked as stopped instead.
func (c *control) queryUnsent(now time.Time, a ledger.QueryUnsent) {
	if c.hosts.isAbsent(now, a.Name) {
		c.members.Replaced(a.Issuer)
		return
	}
	c.executor.queryUnsent(a)
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

// reportViolation counts and logs a violated invariant.
func (c *control) reportViolation(v ledger.Violation) {
	c.metrics.violations.Add(1)
	c.log.Error("invariant violated", zap.String("Invariant", v.Invariant), zap.String("Detail", v.Detail))
}

// pendingUnsentQueries holds the queries of peers about orders that the ledger has not replied to yet, by token.
type pendingUnsentQueries struct {
	lastToken int64
	replies   map[int64]chan peer.UnsentReply
	self      model.Incarnation
}

func newPendingUnsentQueries(self model.Incarnation) *pendingUnsentQueries {
	return &pendingUnsentQueries{replies: make(map[int64]chan peer.UnsentReply), self: self}
}

func (p *pendingUnsentQueries) add(reply chan peer.UnsentReply) int64 {
	p.lastToken++
	p.replies[p.lastToken] = reply
	return p.lastToken
}

func (p *pendingUnsentQueries) reply(a ledger.AnswerUnsent) {
	reply, ok := p.replies[a.Token]
	if !ok {
		return
	}
	delete(p.replies, a.Token)
	reply <- peer.UnsentReply{Issuer: p.self, WillNotSend: a.WillNotSend}
}
