package entryhost

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"citronspread/engine"
	"citronspread/gossip"
	"citronspread/ledger"
	"citronspread/model"
	"citronspread/peer"
	"citronspread/store"
)

// Timeouts of calls whose outcome is reported to the control thread.
const (
	observeTimeout = 2 * time.Second
	orderTimeout   = 3 * time.Minute
)

// executor runs the control thread's calls to other systems in goroutines and posts their results as events,
// so that the control thread never blocks on I/O.
type executor struct {
	store           Store
	peers           PeerClient
	usage           UsageSource
	sink            SnapshotSink
	dial            func(host model.Host) Engine
	log             *zap.Logger
	metrics         *metrics
	events          chan<- event
	self            model.Peer
	ctx             context.Context
	tasks           sync.WaitGroup
	mu              sync.Mutex
	engines         map[string]Engine // by backend server
	engineAddresses map[string]string // address that each engine was dialled at, by backend server

	storeTimeout time.Duration // of one call
	seeds        []string      // configured peer addresses of the zone
}

// spawn runs work in a goroutine. The context is cancelled when the host stops, which waits for the goroutine to return.
func (e *executor) spawn(work func(ctx context.Context)) {
	e.tasks.Add(1)
	go func() {
		defer e.tasks.Done()
		work(e.ctx)
	}()
}

// post sends an event to the control thread, and drops it when ctx ends first.
func (e *executor) post(ctx context.Context, event event) {
	select {
	case e.events <- event:
	case <-ctx.Done():
	}
}

// setEngines dials the engines of listed backend servers that are new or have a new address.
func (e *executor) setEngines(hosts []model.Host) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, h := range hosts {
		if h.Kind == model.KindBackend && e.engineAddresses[h.Name] != h.Address {
			e.engines[h.Name] = e.dial(h)
			e.engineAddresses[h.Name] = h.Address
		}
	}
}

func (e *executor) engine(backend string) (Engine, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	found, ok := e.engines[backend]
	return found, ok
}

func (e *executor) readRecord(action ledger.ReadRecord) {
	e.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, e.storeTimeout)
		defer cancel()
		entry, err := e.store.Get(ctx, action.Key)
		e.post(e.ctx, ledgerEvent{storeResult(action.Token, action.Key, ledger.StoreRead, entry, err)})
	})
}

func (e *executor) writeRecord(action ledger.WriteRecord) {
	e.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, e.storeTimeout)
		defer cancel()
		revision, err := e.store.CompareAndSwap(ctx, action.Key, action.Value, action.Revision)
		entry := store.Entry{Key: action.Key, Value: action.Value, Revision: revision}
		e.post(e.ctx, ledgerEvent{storeResult(action.Token, action.Key, ledger.StoreApplied, entry, err)})
	})
}

// storeResult converts the result of a store call to a ledger event.
func storeResult(token int64, key string, success ledger.StoreOutcome, entry store.Entry, err error) ledger.StoreAnswered {
	result := ledger.StoreAnswered{Token: token, Key: key, Outcome: success, Value: entry.Value, Revision: entry.Revision}
	if err == nil {
		return result
	}
	result.Value, result.Revision = nil, 0
	var notFound *store.NotFoundError
	var conflict *store.ConflictError
	var unavailable *store.UnavailableError
	switch {
	case errors.As(err, &notFound):
		result.Outcome = ledger.StoreNotFound
	case errors.As(err, &conflict):
		result.Outcome = ledger.StoreConflict
		result.Value, result.Revision = conflict.Current.Value, conflict.Current.Revision
	case errors.As(err, &unavailable) && unavailable.Ambiguous:
		result.Outcome = ledger.StoreAmbiguous
	default:
		result.Outcome = ledger.StoreFailed
	}
	return result
}

// observe sends a fencing token to an engine, then reads the engine's state. Either argument may be nil.
func (e *executor) observe(fence *ledger.FenceEngine, action *ledger.ObserveEngine) {
	e.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, observeTimeout)
		defer cancel()
		if fence != nil {
			e.fence(ctx, *fence)
		}
		if action == nil {
			return
		}
		result := ledger.Observed{Token: action.Token, Backend: action.Backend, Failed: true}
		if found, ok := e.engine(action.Backend); ok {
			observation, err := found.Observe(ctx)
			result.Observation, result.Failed = observation, err != nil
		}
		e.post(e.ctx, ledgerEvent{result})
	})
}

func (e *executor) fence(ctx context.Context, fence ledger.FenceEngine) {
	found, ok := e.engine(fence.Backend)
	if !ok {
		return
	}
	if err := found.Fence(ctx, fence.Term); err != nil {
		e.log.Warn("fencing number not presented", zap.String("Backend", fence.Backend), zap.Error(err))
	}
}

func (e *executor) sendOrder(action ledger.SendOrder) {
	e.spawn(func(ctx context.Context) {
		outcome := e.executeOrder(ctx, action.Backend, action.Order)
		e.log.Info("order answered", zap.String("Backend", action.Backend), zap.String("Kind", string(action.Order.Kind)),
			zap.String("Model", action.Order.Key.String()), zap.String("Order", action.Order.ID), zap.String("Outcome", string(outcome)))
		e.post(e.ctx, ledgerEvent{ledger.OrderAnswered{OrderID: action.Order.ID, Outcome: outcome}})
	})
}

func (e *executor) executeOrder(ctx context.Context, backend string, order model.Order) ledger.OrderOutcome {
	found, ok := e.engine(backend)
	if !ok {
		return ledger.OrderUnsent
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	e.metrics.orders.Add(1)
	response, err := found.SendOrder(ctx, order)
	var unsent *engine.OrderUnsentError
	switch {
	case errors.As(err, &unsent):
		return ledger.OrderUnsent
	case err != nil:
		return ledger.OrderLost
	case response.Outcome == engine.OutcomeDone:
		return ledger.OrderDone
	case response.Outcome == engine.OutcomeRefused:
		return ledger.OrderRefused
	default:
		return ledger.OrderFailed
	}
}

func (e *executor) queryUnsent(action ledger.QueryUnsent) {
	if action.Address == "" {
		return
	}
	e.spawn(func(ctx context.Context) {
		request := &peer.UnsentRequest{OrderID: action.OrderID, Issuer: action.Issuer}
		reply, err := e.peers.QueryUnsent(ctx, action.Address, request)
		if err != nil {
			return
		}
		e.post(e.ctx, unsentReplied{issuer: action.Issuer, orderID: action.OrderID, reply: *reply})
	})
}

// push sends items to peers.
func (e *executor) push(targets []model.Peer, items []gossip.Item) {
	for _, target := range targets {
		e.spawn(func(ctx context.Context) {
			_, err := e.peers.Push(ctx, target.Address, &peer.PushRequest{Zone: e.self.Zone, Items: items})
			if err != nil {
				e.reportConnectionRefused(target, err)
			}
		})
	}
}

// reportConnectionRefused notifies the control thread when a peer's address refused the connection.
func (e *executor) reportConnectionRefused(target model.Peer, err error) {
	var unreachable *peer.UnreachableError
	if errors.As(err, &unreachable) && unreachable.Refused {
		e.post(e.ctx, peerConnectionRefused{name: target.Name})
	}
}

func (e *executor) forwardLoadDemand(address string, request peer.DemandRequest) {
	e.spawn(func(ctx context.Context) {
		if err := e.peers.SendDemand(ctx, address, &request); err != nil {
			e.log.Debug("load demand not delivered", zap.String("Model", request.Wake.Key.String()), zap.Error(err))
			if request.Final { // the leader is unreachable, so this host decides
				e.post(ctx, loadDemandReceived{demand: request.Wake, isFromOtherZone: request.Foreign, isFinal: true})
			}
		}
	})
}

func (e *executor) requestLoad(address string, request peer.LoadRequest) {
	e.spawn(func(ctx context.Context) {
		if err := e.peers.RequestLoad(ctx, address, &request); err != nil {
			e.log.Warn("load not asked", zap.String("Model", request.Key.String()), zap.String("Backend", request.Backend), zap.Error(err))
		}
	})
}

func (e *executor) requestPermit(address string, request peer.PermitRequest, replied func(granted bool) event) {
	e.spawn(func(ctx context.Context) {
		reply, err := e.peers.Permit(ctx, address, &request)
		e.post(e.ctx, replied(err == nil && reply.Granted))
	})
}

// reportUsage sends the owners of backend servers the usage of their replicas.
func (e *executor) reportUsage(usages []model.Usage, ownerOf func(backend string) string) {
	byOwner := make(map[string][]model.Usage)
	for _, u := range usages {
		if owner := ownerOf(u.Backend); owner != "" {
			byOwner[owner] = append(byOwner[owner], u)
		}
	}
	for owner, reported := range byOwner {
		if owner == e.self.Address {
			e.spawn(func(ctx context.Context) { e.post(ctx, usageReported{reported}) })
			continue
		}
		request := &peer.UsageRequest{From: e.self.Name, Usages: reported}
		e.spawn(func(ctx context.Context) { _ = e.peers.ReportUsage(ctx, owner, request) })
	}
}
