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
	"citronspread/peer"
	"citronspread/residency"
	"citronspread/routing"
	"citronspread/tenure"
)

// Times of the control thread.
const (
	tickInterval  = 100 * time.Millisecond
	eventCapacity = 1024
	// refuseSuspectFor outlasts the clients that send a crashing request again.
	refuseSuspectFor   = 10 * time.Minute
	suspectTrialDelay  = 100 * time.Millisecond // in which word of a trial reaches the other entry hosts
	suspectTrialHold   = 10 * time.Second
	suspectForgetAfter = 15 * time.Minute
	suspectLimit       = 10_000
)

// Times that the router expects until owners tell better ones.
const (
	// listedStale is longer than any process runs between restarts: what is listed is valid until it is removed.
	listedStale = 24 * time.Hour
	// usualColdStart is a load from a copy in memory, about 630 ms in the desired states seen.
	usualColdStart = 700 * time.Millisecond
	// usualAdapterStart is the load of an adapter and the calls to its owner.
	usualAdapterStart = residency.AdapterLoad + 10*time.Millisecond
)

// Host is one entry host. The exported fields are set before Run.
type Host struct {
	Name           string
	Zone           string
	PeerAddress    string
	Store          Store
	Orders         Orders
	Decoder        Decoder
	Log            *zap.Logger
	Metrics        *metrics.Metrics
	Now            func() time.Time
	OrderTurn      time.Duration // shortest time between the orders of two holders
	RetryRatio     float64       // of the retry budget of all entry hosts
	RetrySlack     int
	CeilingWindow  time.Duration // window of the limit on loads from the weight store
	CeilingOverage float64
	ParallelLoads  int // from the weight store at full speed

	Desk *Desk

	router   *routing.Router
	routes   atomic.Pointer[routeTable]
	snapshot atomic.Pointer[model.Snapshot]
	stopping atomic.Bool
	listedOK atomic.Bool  // the platform's list was read
	hosts    atomic.Int64 // live entry hosts, this one included
	events   chan func(now time.Time)
	ctx      context.Context // ends with the host
	cancel   context.CancelFunc
	wait     sync.WaitGroup
	leaving  context.Context // ends when those who still wait have to go to another host
	turnAway context.CancelFunc
	peers    *peer.Client
	history  *history
	relay    atomic.Pointer[string] // peer address of the host that passes the store's changes on, empty for none

	// The control thread alone uses what follows.
	view        *view
	viewChanged bool
	version     int64
	table       *tenure.Table
	registered  bool
	lease       int64 // that keeps the own liveness key
	owned       map[string]*ownedBackend
	asks        map[routing.Target]*ask
	lead        *lead
	permits     permits
	suspects    map[model.Fingerprint]model.Suspect
	renewing    bool
	claimAt     time.Time // no claim before
	claiming    bool
	steppedAt   time.Time
	usedAt      time.Time
	directUntil time.Time // no relay is followed before
	spreadAt    time.Time
	spread      map[model.ModelKey]time.Time // when each model was last spread
}

// Prepare builds what the edges need before Run.
func (h *Host) Prepare() {
	h.Desk = &Desk{host: h, budgets: make(map[string]*routing.Budget)}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.leaving, h.turnAway = context.WithCancel(context.Background())
	h.events = make(chan func(time.Time), eventCapacity)
	h.history = newHistory()
	h.view = newView(h.Zone)
	h.owned = make(map[string]*ownedBackend)
	h.asks = make(map[routing.Target]*ask)
	h.lead = newLead()
	h.permits.taken = make(map[string]bool)
	h.spread = make(map[model.ModelKey]time.Time)
	h.suspects = make(map[model.Fingerprint]model.Suspect)
	self := tenure.HostRecord{Name: h.Name, Zone: h.Zone, PeerAddress: h.PeerAddress, Incarnation: uuid.NewString()}
	h.table = tenure.NewTable(self, h.OrderTurn)
	policy := routing.DefaultPolicy()
	policy.StaleAfter = listedStale
	policy.ColdStart = usualColdStart
	policy.AdapterStart = usualAdapterStart
	policy.AnyZone = true
	policy.MoveFactor = 0 // moved prompts are read anew, which slows others down more than it gains
	h.router = &routing.Router{
		Name: h.Name, Zone: h.Zone, Policy: policy, Picker: routing.LatencyPicker{}, Waker: h, Budget: &routing.Budget{},
		Suspects: &routing.Suspects{
			Name: h.Name, RefuseFor: refuseSuspectFor, TrialDelay: suspectTrialDelay, TrialHold: suspectTrialHold,
			Forget: suspectForgetAfter, Limit: suspectLimit, Publish: h.publishSuspect,
		},
		Snapshot: &h.snapshot, Now: h.Now, Seed: rand.Uint64(),
	}
}

// Run takes part until ctx ends.
func (h *Host) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", h.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "gateway: peer address")
	}
	traffic := &peer.Traffic{}
	if h.peers, err = peer.NewClient(traffic); err != nil {
		return err
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
	add((&peer.Server{Handler: &fleetHandler{host: h}, Listener: listener, Traffic: traffic}).Run)
	err = group.Run()
	h.wait.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Ready reports whether the host takes new requests.
func (h *Host) Ready() bool {
	return !h.stopping.Load() && h.routes.Load() != nil && h.listedOK.Load()
}

// Stop begins a planned stop: the host is unready and gives its backend servers up, requests go on.
func (h *Host) Stop() {
	if h.stopping.Swap(true) {
		return
	}
	h.Log.Info("stopping", zap.String("Name", h.Name))
	h.post(func(now time.Time) { h.leave(now) })
}

// TurnAway refuses all requests that wait for a place, now and from now on, so that their callers ask another host.
func (h *Host) TurnAway() { h.turnAway() }

// post hands an event to the control thread.
func (h *Host) post(event func(now time.Time)) {
	select {
	case h.events <- event:
	case <-h.ctx.Done():
	}
}

// spawn runs a task that ends with the host.
func (h *Host) spawn(task func(ctx context.Context)) {
	h.wait.Add(1)
	go func() {
		defer h.wait.Done()
		task(h.ctx)
	}()
}

// query asks the control thread and waits for its answer.
func query[T any](ctx context.Context, h *Host, question func(now time.Time) T) (T, error) {
	reply := make(chan T, 1)
	h.post(func(now time.Time) { reply <- question(now) })
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// control is the only thread that changes control state.
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

// step does what is due.
func (h *Host) step(now time.Time) {
	if gone := h.view.expire(now); len(gone) > 0 {
		h.viewChanged = true
		h.Log.Info("entries did not come back", zap.Strings("Backends", gone))
	}
	h.stepOwnership(now)
	h.stepOwned(now)
	h.stepUsage(now)
	h.stepSpread(now)
	h.publish(now)
}

// publish hands a new snapshot to the traffic threads when something changed.
func (h *Host) publish(now time.Time) {
	table := h.routes.Load()
	if !h.viewChanged || table == nil {
		return
	}
	h.viewChanged = false
	h.version++
	suspects := make([]model.Suspect, 0, len(h.suspects))
	for _, s := range h.suspects {
		suspects = append(suspects, s)
	}
	h.snapshot.Store(h.view.snapshot(now, h.version, table.state, h.routersOfZone(), suspects))
	h.router.Changed()
}

// routersOfZone returns the number of live entry hosts of the zone.
func (h *Host) routersOfZone() int {
	count := 0
	for _, p := range h.table.Live() {
		if p.Zone == h.Zone {
			count++
		}
	}
	return max(1, count)
}
