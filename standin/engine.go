package standin

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"citronspread/model"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
)

// Defaults for the fields of Engine that are zero.
const (
	defaultMemoryBytes        = 24_000_000_000
	defaultBatchCapacity      = 32
	defaultMaxWaiting         = 256
	defaultTokensPerSecond    = 50
	defaultSlowdownPerStream  = 0.01
	defaultReportLag          = 2 * time.Second
	defaultEventLag           = time.Second
	defaultLostEventInterval  = 7
	defaultMinAdapterLoadTime = 5 * time.Millisecond
	defaultMaxAdapterLoadTime = 10 * time.Millisecond
	defaultUnloadTime         = 20 * time.Millisecond
	defaultRestartDelay       = 2 * time.Second
	defaultPrefillPerByte     = 2 * time.Microsecond
)

// TierRates are the read rates of a load from each storage tier, in bytes per second.
type TierRates struct {
	Memory float64
	Disk   float64
	Remote float64
}

var defaultRates = TierRates{Memory: 16e9, Disk: 4e9, Remote: 1e9}

// Engine simulates the model engine of a backend server.
type Engine struct {
	Address            string
	Backend            string
	MemoryBytes        int64
	ChecksFencing      bool               // refuse orders with a stale fencing token
	Checkpoints        []model.Checkpoint // initially cached checkpoints; all others are remote
	Rates              TierRates
	Weights            WeightPermits // optional; reads from the weight store are not limited if nil
	ReplicaSink        ReplicaSink   // optional
	RunSink            RunSink       // optional
	OrderSink          OrderSink     // optional
	BatchCapacity      int
	Software           string // version of the engine's software that it states, empty for none
	MaxWaiting         int
	TokensPerSecond    float64       // rate of a single running stream
	SlowdownPerStream  float64       // fraction by which each further stream extends the time per token
	PrefillPerByte     time.Duration // prefill time per byte of the prompt that is not cached
	ReportLag          time.Duration // age of the reported load
	EventLag           time.Duration // delay before a cache event is published
	LostEventInterval  int           // every LostEventInterval-th cache event is lost
	MinAdapterLoadTime time.Duration
	MaxAdapterLoadTime time.Duration
	UnloadTime         time.Duration
	RestartDelay       time.Duration // downtime after a crash
	Seed               uint64

	once        sync.Once
	mu          sync.Mutex
	random      *rand.Rand
	incarnation *incarnation
	batch       batch
	checkpoints checkpointCache
	prefixes    prefixCache
	loadSamples []model.LoadReport // oldest first
	fault       activeEngineFault
	counts      EngineCounts
	runs        map[string]int  // by request ID
	orders      map[string]bool // IDs of all received orders
}

// incarnation is the state of an engine between a start and the next crash.
type incarnation struct {
	id           model.Incarnation
	ctx          context.Context
	cancel       context.CancelFunc
	startsAt     time.Time // end of the restart delay
	residents    map[model.ModelKey]*resident
	fencingToken int64 // highest fencing token received
}

func newIncarnation(startsAt time.Time) *incarnation {
	ctx, cancel := context.WithCancel(context.Background())
	return &incarnation{
		id:        model.Incarnation(uuid.NewString()),
		ctx:       ctx,
		cancel:    cancel,
		startsAt:  startsAt,
		residents: map[model.ModelKey]*resident{},
	}
}

// Run serves the engine until ctx is done. The listener is closed during the restart after a crash.
func (e *Engine) Run(ctx context.Context) error {
	handler := e.Handler()
	for ctx.Err() == nil {
		inc := e.currentIncarnation()
		if !sleep(ctx, time.Until(inc.startsAt)) {
			return nil
		}
		if err := e.runIncarnation(ctx, inc, handler); err != nil {
			return err
		}
	}
	return nil
}

func (e *Engine) runIncarnation(ctx context.Context, inc *incarnation, handler http.Handler) error {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", e.Address)
	if err != nil {
		return errors.Wrap(err, "standin: listen")
	}
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(inc.ctx, cancel)
	defer stop()
	return serveListener(runCtx, listener, handler)
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	e.once.Do(e.init)
	r := chi.NewRouter()
	r.Get("/counts", e.handleCounts)
	r.Post("/fault", e.handleFault)
	r.Group(func(r chi.Router) {
		r.Use(e.applyFault)
		r.Post("/v1/chat/completions", e.handleChat)
		r.Post("/v1/completions", e.handleCompletion)
		r.Post("/v1/requests/{id}/cancel", e.handleCancel)
		r.Get("/control/state", e.handleState)
		r.Get("/control/load", e.handleLoad)
		r.Get("/control/events", e.handleEvents)
		r.Post("/control/orders", e.handleOrder)
		r.Post("/control/fence", e.handleFence)
	})
	return r
}

func (e *Engine) init() {
	setDefault(&e.MemoryBytes, defaultMemoryBytes)
	setDefault(&e.Rates, defaultRates)
	setDefault(&e.BatchCapacity, defaultBatchCapacity)
	setDefault(&e.MaxWaiting, defaultMaxWaiting)
	setDefault(&e.TokensPerSecond, defaultTokensPerSecond)
	setDefault(&e.SlowdownPerStream, defaultSlowdownPerStream)
	setDefault(&e.PrefillPerByte, defaultPrefillPerByte)
	setDefault(&e.ReportLag, defaultReportLag)
	setDefault(&e.EventLag, defaultEventLag)
	setDefault(&e.LostEventInterval, defaultLostEventInterval)
	setDefault(&e.MinAdapterLoadTime, defaultMinAdapterLoadTime)
	setDefault(&e.MaxAdapterLoadTime, defaultMaxAdapterLoadTime)
	setDefault(&e.UnloadTime, defaultUnloadTime)
	setDefault(&e.RestartDelay, defaultRestartDelay)

	e.random = rand.New(rand.NewPCG(e.Seed, uint64(len(e.Backend))))
	e.incarnation = newIncarnation(time.Time{})
	e.checkpoints = newCheckpointCache(e.Checkpoints)
	e.runs = map[string]int{}
	e.orders = map[string]bool{}
}

// setDefault sets a field to value if it is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (e *Engine) currentIncarnation() *incarnation {
	e.once.Do(e.init)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

// applyFault delays requests while the engine is frozen. It closes the connection of a request that comes from an
// unreachable zone or arrives during a restart, and of one that is in progress when the engine crashes.
func (e *Engine) applyFault(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		inc := e.currentIncarnation()
		if time.Now().Before(inc.startsAt) || e.isUnreachable(r) {
			abortConnection()
		}
		if !e.waitWhileFrozen(inc.ctx) {
			abortConnection()
		}
		next.ServeHTTP(w, r)
		if inc.ctx.Err() != nil {
			abortConnection()
		}
	})
}

// crash discards all models, streams and cached prefixes and starts a new incarnation. e.mu must be held.
func (e *Engine) crash(now time.Time) {
	e.counts.Crashes++
	e.incarnation.cancel()
	for key := range e.incarnation.residents {
		e.recordReplica(key, false, now)
	}
	e.incarnation = newIncarnation(now.Add(e.RestartDelay))
	e.batch = batch{}
	e.prefixes = prefixCache{}
	e.loadSamples = nil
}

// recordReplica sends a replica event to the ReplicaSink. e.mu must be held, so that the sink receives the events of an
// engine in order and no later than the changes take effect.
func (e *Engine) recordReplica(key model.ModelKey, loaded bool, now time.Time) {
	if e.ReplicaSink == nil {
		return
	}
	e.ReplicaSink.Record(ReplicaEvent{Backend: e.Backend, Key: key, Loaded: loaded, At: now})
}
