// Package entryhost runs one entry host: the control thread, the traffic threads and the adapters between them.
package entryhost

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/oklog/run"
	"go.uber.org/zap"
	"golang.org/x/net/netutil"

	"citronspread/caller"
	"citronspread/gossip"
	"citronspread/ledger"
	"citronspread/membership"
	"citronspread/model"
	"citronspread/peer"
	"citronspread/placement"
	"citronspread/routing"
)

// Host is one entry host. The exported fields are set before Run.
type Host struct {
	Name            string
	Zone            string
	Region          string
	Version         string
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	Policy          Policy
	Traffic         Traffic
	StoreTimeout    time.Duration // of one call
	LongestOrder    time.Duration // an order reaches its engine within this time or never
	Store           Store
	HostList        HostList
	DialEngine      func(host model.Host) Engine
	Log             *zap.Logger

	incarnation model.Incarnation
	metrics     *metrics
	snapshot    atomic.Pointer[model.Snapshot]
	router      *routing.Router
	events      chan event
	edge        *edge
	control     *control
	callers     *caller.Server
	peerTraffic *peer.Traffic
	isUnready   atomic.Bool
	isComplete  atomic.Bool
}

// listeners are the open sockets of a host.
type listeners struct {
	caller   net.Listener
	peer     net.Listener
	operator net.Listener
}

// Run serves until ctx ends, then stops gracefully: it finishes every request before it leaves.
func (h *Host) Run(ctx context.Context) error {
	open, err := h.listen()
	if err != nil {
		return err
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	if err := h.build(background); err != nil {
		return err
	}
	var group run.Group
	h.addControl(&group, background)
	h.addPeerServer(&group, background, open.peer)
	h.addOperatorServer(&group, open.operator)
	h.addCallerServer(&group, ctx, open.caller)
	h.Log.Info("started", zap.String("Name", h.Name), zap.String("Zone", h.Zone), zap.String("Incarnation", string(h.incarnation)))
	err = group.Run()
	stop()
	h.edge.wait.Wait()
	h.Log.Info("stopped", zap.String("Name", h.Name))
	return err
}

func (h *Host) listen() (listeners, error) {
	var open listeners
	var err error
	if open.caller, err = net.Listen("tcp", h.CallerAddress); err != nil {
		return open, errors.Wrap(err, "entryhost: caller address")
	}
	open.caller = netutil.LimitListener(open.caller, h.Traffic.Connections)
	if open.peer, err = net.Listen("tcp", h.PeerAddress); err != nil {
		return open, errors.Wrap(err, "entryhost: peer address")
	}
	if open.operator, err = net.Listen("tcp", h.OperatorAddress); err != nil {
		return open, errors.Wrap(err, "entryhost: operator address")
	}
	return open, nil
}

// build makes the parts and connects them.
func (h *Host) build(ctx context.Context) error {
	h.incarnation = model.Incarnation(h.Name + "/" + uuid.NewString())
	h.metrics = &metrics{startedAt: time.Now()}
	h.events = make(chan event, eventCapacity)
	h.peerTraffic = &peer.Traffic{}
	peers, err := peer.NewClient(h.peerTraffic)
	if err != nil {
		return err
	}
	self := model.Peer{Name: h.Name, Zone: h.Zone, Address: h.PeerAddress, Incarnation: h.incarnation}
	h.router = h.Traffic.newRouter(h)
	h.edge = &edge{
		store:    h.Store,
		peers:    peers,
		usage:    h.router,
		sink:     h,
		dial:     h.DialEngine,
		log:      h.Log,
		metrics:  h.metrics,
		events:   h.events,
		self:     self,
		ctx:      ctx,
		engines:  make(map[string]Engine),
		engineAt: make(map[string]string),

		storeTimeout: h.StoreTimeout,
		seeds:        h.Policy.Seeds,
	}
	h.callers = h.newCallerServer()
	h.control = h.newControl(self)
	return nil
}

func (h *Host) newControl(self model.Peer) *control {
	return &control{
		self:    self,
		edge:    h.edge,
		metrics: h.metrics,
		log:     h.Log,
		policy:  h.Policy,
		table:   gossip.NewTable(),
		members: membership.NewMembers(self),
		ledger: &ledger.Host{
			Name:             h.Name,
			Zone:             h.Zone,
			Address:          h.PeerAddress,
			Incarnation:      h.incarnation,
			LongestOrderTime: h.LongestOrder,
		},
		lead:          placement.NewLead(),
		permits:       placement.NewPermits(h.Policy.LoadsPerSecond, h.Policy.ParallelLoads),
		configuration: &configuration{},
		backends:      newStatusCache(),
		owner:         newOwnerState(),
		asks:          newPendingAsks(h.incarnation),
	}
}

// addControl runs the control thread and the threads that watch the platform.
func (h *Host) addControl(group *run.Group, background context.Context) {
	addActor(group, background, func(ctx context.Context) error { return h.control.run(ctx, h.events) })
	addActor(group, background, h.edge.watchConfiguration)
	addActor(group, background, func(ctx context.Context) error {
		_ = h.callers.Claims.Run(ctx)
		return nil
	})
	addActor(group, background, func(ctx context.Context) error { return h.edge.watchHosts(ctx, h.HostList) })
	addActor(group, background, func(ctx context.Context) error {
		_ = h.router.Run(ctx)
		return nil
	})
}

func (h *Host) addPeerServer(group *run.Group, background context.Context, listener net.Listener) {
	server := &peer.Server{Handler: &peerHandler{edge: h.edge}, Listener: listener, Traffic: h.peerTraffic}
	addActor(group, background, server.Run)
}

// addActor adds a task that ends when the group ends.
func addActor(group *run.Group, background context.Context, task func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(background)
	group.Add(func() error { return task(ctx) }, func(error) { cancel() })
}

func (h *Host) addOperatorServer(group *run.Group, listener net.Listener) {
	server := &http.Server{Handler: h.operatorHandler(), ReadHeaderTimeout: operatorHeaderTimeout}
	group.Add(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "entryhost: operator side")
		}
		return nil
	}, func(error) { _ = server.Close() })
}

// Publish hands a snapshot to the traffic threads.
func (h *Host) Publish(snapshot *model.Snapshot) {
	h.snapshot.Store(snapshot)
	h.isComplete.Store(snapshot.Complete)
	h.router.Changed()
}

// Wake passes a router's demand to the control thread.
func (h *Host) Wake(wake model.Wake) {
	select {
	case h.events <- wakeAsked{wake: wake}:
	default:
		h.metrics.droppedWakes.Add(1)
	}
}

// publishSuspect passes a suspect to the control thread, which tells the other entry hosts.
func (h *Host) publishSuspect(suspect model.Suspect) {
	h.edge.spawn(func(ctx context.Context) { h.edge.post(ctx, suspectFound{suspect: suspect}) })
}
