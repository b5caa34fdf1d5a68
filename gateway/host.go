package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"citronspread/metrics"
	"citronspread/model"
	"citronspread/ownership"
	"citronspread/peer"
	"citronspread/ratelimit"
	"citronspread/residency"
	"citronspread/routing"
)

// Timing and limits of the control thread and of suspects, see routing.Suspects.
const (
	tickInterval  = 100 * time.Millisecond
	eventCapacity = 1024
	// refuseSuspectFor is longer than callers keep resending a request that crashes backend servers.
	refuseSuspectFor = 10 * time.Minute
	// suspectClaimPropagationDelay is the time for the claim of a trial to reach the other entry hosts: two calls and
	// followPause.
	suspectClaimPropagationDelay = 200 * time.Millisecond
	suspectTrialClaimTTL         = 10 * time.Second // lifetime of a claim that is not renewed
	suspectRetention             = 15 * time.Minute
	suspectLimit                 = 10_000
	// blockPromptPartFor is longer than callers keep sending requests with a part that crashes backend servers.
	blockPromptPartFor = 10 * time.Minute
	suspectPartLimit   = 1024
)

// Times that the router assumes until owners report better estimates.
const (
	// listingStaleAfter is longer than any process runs between restarts: entries are valid until they are removed.
	listingStaleAfter = 24 * time.Hour
	// defaultColdStart is the time of a load from a copy in memory, which takes about 630 ms.
	defaultColdStart = 700 * time.Millisecond
	// defaultAdapterStart is the time of an adapter load and of the calls to the owner.
	defaultAdapterStart = residency.AdapterLoad + 10*time.Millisecond
	// fillFactor and loadExponent are the best of those that docs/design/even-load.md compares.
	fillFactor   = 1.25
	loadExponent = 4
)

// Host is one entry host. The exported fields are set before Prepare, except Dispatcher, which Prepare sets.
type Host struct {
	Name              string
	Zone              string
	PeerAddress       string
	LinkMbps          float64 // bandwidth of the link of this host in Mbit/s, 0 if unknown
	Store             Store
	BackendClient     BackendClient
	Peers             Peers        // nil for calls over the network
	Listener          net.Listener // for calls of other entry hosts, nil to listen on PeerAddress
	Decoder           Decoder
	Log               *zap.Logger
	Metrics           *metrics.Metrics
	Now               func() time.Time
	OwnerChangeDelay  time.Duration // shortest time between the orders of two successive owners
	RetryRatio        float64       // retries per request in the budget shared by all entry hosts
	RetrySlack        int           // retries that all entry hosts together may make without any request
	RetryWindow       time.Duration // of the retry budget, 0 for ten seconds
	RetrySlackDelay   time.Duration // after the start, when this host begins to use RetrySlack: an earlier process may just have used its part
	WeightLoadWindow  time.Duration // window of the rate limit on loads from the weight store
	WeightLoadOverage float64       // factor by which a window may exceed that rate
	MaxWeightLoads    int           // loads that the weight store serves at once at full speed

	CapTolerance ratelimit.Tolerance // of the usage caps of workspaces, zero for the defaults

	Dispatcher *Dispatcher

	router   *routing.Router
	routes   atomic.Pointer[routeTable]
	desired  atomic.Pointer[desiredState] // the same desired state as routes, as the store gave it out
	snapshot atomic.Pointer[model.Snapshot]
	// serviceSoftware holds the software versions by service.
	serviceSoftware atomic.Pointer[map[string]serviceSoftware]
	// settledEra is the era of the store if it is settled, and noEra otherwise, see storeEra.
	settledEra     atomic.Int64
	streams        *streamRecorder
	caps           *capDesk
	stopping       atomic.Bool
	backendsListed atomic.Bool // the list of backend servers was read from the store, perhaps some seconds old
	caughtUp       atomic.Bool // the changes since that list have been applied
	hosts          hostCount
	startedAt      time.Time // when Prepare was called
	loads          *loadBook
	ownerAddresses atomic.Pointer[map[string]string] // peer addresses of the owners, by backend server
	events         chan func(now time.Time)
	ctx            context.Context // done when the host stops
	cancel         context.CancelFunc
	tasks          sync.WaitGroup
	admission      context.Context // done when waiting requests are refused
	endAdmission   context.CancelFunc
	history        *history
	values         *values

	relayMu   sync.Mutex // guards the fields below, which the watch and the hosts that follow this one use
	relays    relayChoice
	order     zoneOrder
	source    source             // of the changes that are waited for
	endFollow context.CancelFunc // ends the call to a relay that is in progress, nil if there is none

	// The fields below are used by the watch only.
	suspectsFrom  string    // relay that sent the latest suspects
	suspectsAfter int64     // its sequence number of the last one
	partsAfter    int64     // its sequence number of the last suspect part
	limitsAfter   int64     // its sequence number of the last limit
	followedUpTo  time.Time // see followedUpTo, of the last reply
	loadExchange  loadExchange

	// The fields below are used by the control thread only.
	view            *view
	viewChanged     bool
	viewCompleteAt  time.Time // all changes of the store up to this time have been applied
	version         int64
	table           *ownership.Table
	registered      bool
	lease           int64 // lease of the own liveness key
	owned           map[string]*ownedBackend
	demands         map[routing.Target]*demand
	leader          *leader
	allocators      map[string]*ratelimit.Allocator // by backend server of whose limit this host is the leader
	published       map[string]published            // by such a backend server: what other hosts were told last
	deputies        map[string]deputy               // by backend server: hosts that lead limits in place of this one
	limitsCheckedAt time.Time
	permits         permits
	software        *softwareTracker
	renewing        bool          // a registration or renewal is in progress
	registerPause   time.Duration // after the next registration that fails
	nextClaimAt     time.Time     // no claim before this time
	claiming        bool          // a claim is in progress
	lastRenewAt     time.Time
	usageSentAt     time.Time
	learnedAt       time.Time // when other hosts were last asked for the desired state
	learnAttempts   int       // how often they are still to be asked since the store's desired state is invalid
	loadsSteppedAt  time.Time
	suspectsLearned bool // the relays were asked for the suspects that they refuse
	spreadCheckedAt time.Time
	lastSpread      map[model.ModelKey]time.Time // when each model was last spread to a further backend server
}

// Prepare initializes the host. It must be called before Run and before the ingress uses Dispatcher.
func (h *Host) Prepare() {
	if h.Now != nil {
		h.startedAt = h.Now()
	}
	h.Dispatcher = &Dispatcher{host: h, budgets: make(map[string]*routing.Budget), proposals: make(map[string]*baseProposal)}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.admission, h.endAdmission = context.WithCancel(context.Background())
	if h.Metrics == nil {
		h.Metrics = metrics.New()
	}
	h.events = make(chan func(time.Time), eventCapacity)
	h.history = newHistory()
	h.values = newValues()
	h.loads = newLoadBook()
	h.view = newView(h.Zone)
	h.owned = make(map[string]*ownedBackend)
	h.demands = make(map[routing.Target]*demand)
	h.leader = newLeader()
	h.allocators = make(map[string]*ratelimit.Allocator)
	h.published = make(map[string]published)
	h.deputies = make(map[string]deputy)
	h.software = newSoftwareTracker()
	h.streams = newStreamRecorder(h)
	h.caps = newCapDesk(h)
	h.permits.taken = make(map[string]bool)
	h.registerPause = registerPause
	h.lastSpread = make(map[model.ModelKey]time.Time)
	self := ownership.HostRecord{Name: h.Name, Zone: h.Zone, PeerAddress: h.PeerAddress, Incarnation: uuid.NewString(), LinkMbps: h.LinkMbps}
	h.table = ownership.NewTable(self, h.OwnerChangeDelay)
	policy := routing.DefaultPolicy()
	policy.StaleAfter = listingStaleAfter
	policy.ColdStart = defaultColdStart
	policy.AdapterStart = defaultAdapterStart
	policy.AnyZone = true
	policy.FillFactor = fillFactor
	policy.MoveFactor = 0 // a move repeats the prefill, which slows other requests by more than the move gains
	h.router = &routing.Router{
		Name: h.Name, Zone: h.Zone, Policy: policy, Picker: routing.EvenPicker{Exponent: loadExponent}, DemandReporter: h, AllowanceRequester: h, Budget: &routing.Budget{},
		Suspects: &routing.Suspects{
			Name: h.Name, RefuseFor: refuseSuspectFor, ClaimPropagationDelay: suspectClaimPropagationDelay, TrialClaimTTL: suspectTrialClaimTTL,
			Retention: suspectRetention, Limit: suspectLimit, Publish: h.publishSuspect, Republish: h.publishSuspect,
		},
		PromptParts: &routing.PromptParts{
			BlockFor: blockPromptPartFor, Limit: suspectPartLimit, Publish: h.publishSuspectParts, Changed: h.logSuspectPart,
		},
		Snapshot: &h.snapshot, Now: h.Now, Seed: rand.Uint64(),
	}
}

// Run runs the control thread, the watch of the store, the router and the peer server until ctx ends or one of them
// fails.
func (h *Host) Run(ctx context.Context) error {
	var err error
	if h.Listener == nil {
		if h.Listener, err = net.Listen("tcp", h.PeerAddress); err != nil {
			return errors.Wrap(err, "gateway: listen on the peer address")
		}
	}
	traffic := &peer.Traffic{}
	if h.Peers == nil {
		if h.Peers, err = peer.NewClient(traffic); err != nil {
			return err
		}
	}
	defer h.cancel()
	defer context.AfterFunc(ctx, h.cancel)()
	var group run.Group
	add := func(task func(ctx context.Context) error) {
		group.Add(func() error { return task(h.ctx) }, func(error) { h.cancel() })
	}
	add(h.control)
	add(h.watchStore)
	add(h.router.Run)
	add((&peer.Server{Handler: &platformHandler{host: h}, Listener: h.Listener, Traffic: traffic}).Run)
	err = group.Run()
	h.tasks.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Ready reports whether the host accepts new requests.
func (h *Host) Ready() bool {
	return !h.stopping.Load() && h.routes.Load() != nil && h.caughtUp.Load()
}

// Stop begins a graceful shutdown: the host becomes unready and releases its backend servers. Requests in flight
// continue.
func (h *Host) Stop() {
	if h.stopping.Swap(true) {
		return
	}
	h.Log.Info("stopping", zap.String("Name", h.Name))
	h.post(func(now time.Time) { h.releaseOwnership(now) })
}

// RefuseWaiting refuses all requests that wait for a backend server, now and later, so that their callers retry on
// another host.
func (h *Host) RefuseWaiting() { h.endAdmission() }

// post queues an event for the control thread. It drops the event once the host has stopped.
func (h *Host) post(event func(now time.Time)) {
	select {
	case h.events <- event:
	case <-h.ctx.Done():
	}
}

// spawn runs a task whose context ends with the host. Run waits for it.
func (h *Host) spawn(task func(ctx context.Context)) {
	h.tasks.Add(1)
	go func() {
		defer h.tasks.Done()
		task(h.ctx)
	}()
}

// query runs a function on the control thread and returns its result.
func query[T any](ctx context.Context, h *Host, compute func(now time.Time) T) (T, error) {
	reply := make(chan T, 1)
	h.post(func(now time.Time) { reply <- compute(now) })
	select {
	case result := <-reply:
		return result, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// control runs the control thread, the only one that changes control state.
func (h *Host) control(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	h.step(h.Now())
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event := <-h.events:
			event(h.Now())
			for drained := false; !drained; {
				select {
				case event := <-h.events:
					event(h.Now())
				default:
					drained = true
				}
			}
		case <-ticker.C:
		}
		h.step(h.Now())
	}
}

// step runs the periodic tasks that are due.
func (h *Host) step(now time.Time) {
	if expired := h.view.expire(now); len(expired) > 0 {
		h.viewChanged = true
		h.Log.Info("entries did not come back", zap.Strings("Backends", expired))
	}
	for _, id := range h.view.forgetGone(now) {
		h.forgetBackend(now, id)
	}
	h.view.expireObservations(now)
	h.applyDepartures(now)
	if h.table.EndCarrying(now) {
		h.updateHostCount(now)
		h.updateRelays()
	}
	h.stepDesiredState(now)
	h.stepOwnership(now)
	h.stepSoftware(now)
	h.stepOwned(now)
	h.stepLoads(now)
	h.stepUsage(now)
	h.stepSpread(now)
	h.expireLimits(now)
	h.caps.updateView(now)
	h.publish(now)
}

// publish stores a new snapshot for the goroutines that serve requests if the view changed.
func (h *Host) publish(now time.Time) {
	table := h.routes.Load()
	if !h.viewChanged && len(h.view.changed) == 0 || table == nil {
		return
	}
	h.viewChanged = false
	h.version++
	snapshot := h.view.snapshot(now, h.version, table.state, h.routersOfZone())
	snapshot.Hosts = len(h.table.Live())
	h.snapshot.Store(snapshot)
	h.router.Changed()
}

// routersOfZone returns the number of live entry hosts in the zone, at least 1.
func (h *Host) routersOfZone() int {
	count := 0
	for _, p := range h.table.Live() {
		if p.Zone == h.Zone {
			count++
		}
	}
	return max(1, count)
}
