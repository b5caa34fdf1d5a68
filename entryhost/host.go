// Package entryhost runs one entry host. It wires up the servers for callers, peers and operators, the router,
// and the control thread: a single goroutine that alone holds the host's control state. The control thread applies
// events and publishes immutable snapshots for the goroutines that serve requests.
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
	"citronspread/workspace"
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
	Workspaces      *workspace.Directory // nil or empty if callers need no keys
	// ReadStatements reads what the head of a response states about its backend server, see caller.Server. Nil if they state nothing.
	ReadStatements func(status int, header http.Header) (leaving bool, backOff time.Duration, err error)
	StoreTimeout   time.Duration // of one store call
	MaxOrderDelay  time.Duration // time after which an order can no longer reach its engine
	Store          Store
	HostList       HostList
	DialEngine     func(host model.Host) Engine
	Log            *zap.Logger

	incarnation model.Incarnation
	metrics     *metrics
	snapshot    atomic.Pointer[model.Snapshot]
	router      *routing.Router
	events      chan event
	executor    *executor
	control     *control
	callers     *caller.Server
	peerTraffic *peer.Traffic
	isStopping  atomic.Bool
	isComplete  atomic.Bool
}

// listeners are the open sockets of a host.
type listeners struct {
	caller   net.Listener
	peer     net.Listener
	operator net.Listener
}

// Run serves until ctx ends, then stops gracefully: it completes the open requests before it returns.
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
	h.Log.Info("started", zap.String("Name", h.Name), zap.String("Zone", h.Zone), zap.String("Incarnation", string(h.incarnation)),
		zap.Int("Workspaces", len(h.Workspaces.Workspaces())), zap.Int("Keys", h.Workspaces.KeyCount()))
	err = group.Run()
	stop()
	h.executor.tasks.Wait()
	h.Log.Info("stopped", zap.String("Name", h.Name))
	return err
}

func (h *Host) listen() (listeners, error) {
	var open listeners
	var err error
	if open.caller, err = net.Listen("tcp", h.CallerAddress); err != nil {
		return open, errors.Wrap(err, "entryhost: listen for callers")
	}
	open.caller = netutil.LimitListener(open.caller, h.Traffic.MaxConnections)
	if open.peer, err = net.Listen("tcp", h.PeerAddress); err != nil {
		return open, errors.Wrap(err, "entryhost: listen for peers")
	}
	if open.operator, err = net.Listen("tcp", h.OperatorAddress); err != nil {
		return open, errors.Wrap(err, "entryhost: listen for operators")
	}
	return open, nil
}

// build creates the host's components and connects them.
func (h *Host) build(ctx context.Context) error {
	h.incarnation = model.Incarnation(h.Name + "/" + uuid.NewString())
	h.metrics = &metrics{startedAt: time.Now()}
	h.events = make(chan event, eventQueueSize)
	h.peerTraffic = &peer.Traffic{}
	peers, err := peer.NewClient(h.peerTraffic)
	if err != nil {
		return err
	}
	self := model.Peer{Name: h.Name, Zone: h.Zone, Address: h.PeerAddress, Incarnation: h.incarnation}
	h.router = h.Traffic.newRouter(h)
	h.executor = &executor{
		store:           h.Store,
		peers:           peers,
		usage:           h.router,
		sink:            h,
		dial:            h.DialEngine,
		log:             h.Log,
		metrics:         h.metrics,
		events:          h.events,
		self:            self,
		ctx:             ctx,
		engines:         make(map[string]Engine),
		engineAddresses: make(map[string]string),

		storeTimeout: h.StoreTimeout,
		seeds:        h.Policy.Seeds,
	}
	h.callers = h.newCallerServer()
	h.control = h.newControl(self)
	return nil
}

func (h *Host) newControl(self model.Peer) *control {
	return &control{
		self:     self,
		executor: h.executor,
		metrics:  h.metrics,
		log:      h.Log,
		policy:   h.Policy,
		table:    gossip.NewTable(),
		members:  membership.NewMembers(self),
		ledger: &ledger.Host{
			Name:          h.Name,
			Zone:          h.Zone,
			Address:       h.PeerAddress,
			Incarnation:   h.incarnation,
			MaxOrderDelay: h.MaxOrderDelay,
		},
		leader:        placement.NewLeader(),
		permits:       placement.NewPermits(h.Policy.LoadsPerSecond, h.Policy.MaxParallelLoads),
		configuration: &configuration{},
		backends:      newStatusCache(),
		owner:         newOwnerState(),
		unsentQueries: newPendingUnsentQueries(h.incarnation),
	}
}

// addControl adds the control thread, the router, and the tasks that watch the configuration and the host list
// and maintain claims.
func (h *Host) addControl(group *run.Group, background context.Context) {
	addActor(group, background, func(ctx context.Context) error { return h.control.run(ctx, h.events) })
	addActor(group, background, h.executor.watchConfiguration)
	addActor(group, background, func(ctx context.Context) error {
		_ = h.callers.Claims.Run(ctx)
		return nil
	})
	addActor(group, background, func(ctx context.Context) error { return h.executor.watchHosts(ctx, h.HostList) })
	addActor(group, background, func(ctx context.Context) error {
		_ = h.router.Run(ctx)
		return nil
	})
}

func (h *Host) addPeerServer(group *run.Group, background context.Context, listener net.Listener) {
	server := &peer.Server{Handler: &peerHandler{executor: h.executor}, Listener: listener, Traffic: h.peerTraffic}
	addActor(group, background, server.Run)
}

// addActor adds a task whose context ends when the group ends.
func addActor(group *run.Group, background context.Context, task func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(background)
	group.Add(func() error { return task(ctx) }, func(error) { cancel() })
}

func (h *Host) addOperatorServer(group *run.Group, listener net.Listener) {
	server := &http.Server{Handler: h.operatorHandler(), ReadHeaderTimeout: operatorHeaderTimeout}
	group.Add(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "entryhost: serve operators")
		}
		return nil
	}, func(error) { _ = server.Close() })
}

// PublishSnapshot makes a snapshot the current one for the goroutines that serve requests.
func (h *Host) PublishSnapshot(snapshot *model.Snapshot) {
	h.snapshot.Store(snapshot)
	h.isComplete.Store(snapshot.Complete)
	h.router.Changed()
}

// ReportDemand sends a router's load demand to the control thread. It drops the demand when the event queue is full,
// so that routers never block.
func (h *Host) ReportDemand(demand model.LoadDemand) {
	select {
	case h.events <- loadDemandReceived{demand: demand}:
	default:
		h.metrics.droppedLoadDemands.Add(1)
	}
}

// publishSuspect sends a suspect to the control thread, which publishes it to the other entry hosts.
func (h *Host) publishSuspect(suspect model.Suspect) {
	h.executor.spawn(func(ctx context.Context) { h.executor.post(ctx, suspectFound{suspect: suspect}) })
}
