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

// Defaults of an engine.
const (
	defaultMemoryBytes     = 24_000_000_000
	defaultBatchCapacity   = 32
	defaultMaxWaiting      = 256
	defaultTokensPerSecond = 50
	defaultSlowPerStream   = 0.01
	defaultReportLag       = 2 * time.Second
	defaultEventLag        = time.Second
	defaultEventGap        = 7
	defaultAdapterFastest  = 5 * time.Millisecond
	defaultAdapterSlowest  = 10 * time.Millisecond
	defaultUnloadTime      = 20 * time.Millisecond
	defaultRestartDelay    = 2 * time.Second
	defaultPrefillPerByte  = 2 * time.Microsecond
)

// TierRates are the bytes a second that a load reads from each tier.
type TierRates struct {
	Memory float64
	Disk   float64
	Remote float64
}

var defaultRates = TierRates{Memory: 16e9, Disk: 4e9, Remote: 1e9}

// Engine imitates a model engine on a backend server.
type Engine struct {
	Address         string
	Backend         string
	MemoryBytes     int64
	ChecksFencing   bool
	Checkpoints     []model.Checkpoint // where checkpoints lie at the start; remote when missing
	Rates           TierRates
	Weights         Weights    // no limit when nil
	Census          CensusSink // none when nil
	Runs            RunSink    // none when nil
	Orders          OrderSink  // none when nil
	BatchCapacity   int
	MaxWaiting      int
	TokensPerSecond float64 // of a stream that runs alone
	SlowPerStream   float64 // share that each further stream adds to the time of a token
	PrefillPerByte  time.Duration
	ReportLag       time.Duration
	EventLag        time.Duration
	EventGap        int // each EventGap-th cache event is lost
	AdapterFastest  time.Duration
	AdapterSlowest  time.Duration
	UnloadTime      time.Duration
	RestartDelay    time.Duration
	Seed            uint64

	once        sync.Once
	mu          sync.Mutex
	random      *rand.Rand
	life        *life
	batch       batch
	checkpoints checkpointCache
	prefixes    prefixCache
	reports     []model.LoadReport
	fault       engineFault
	counts      EngineCounts
	runs        map[string]int
	orders      map[string]bool
}

// life is the time between two starts of an engine.
type life struct {
	incarnation model.Incarnation
	ctx         context.Context
	end         context.CancelFunc
	startsAt    time.Time
	residents   map[model.ModelKey]*resident
	term        int64
}

func newLife(startsAt time.Time) *life {
	ctx, end := context.WithCancel(context.Background())
	return &life{
		incarnation: model.Incarnation(uuid.NewString()),
		ctx:         ctx,
		end:         end,
		startsAt:    startsAt,
		residents:   map[model.ModelKey]*resident{},
	}
}

// Run serves the engine until ctx ends. The listener is closed while the engine restarts.
func (e *Engine) Run(ctx context.Context) error {
	handler := e.Handler()
	for ctx.Err() == nil {
		l := e.currentLife()
		if !sleep(ctx, time.Until(l.startsAt)) {
			return nil
		}
		if err := e.runLife(ctx, l, handler); err != nil {
			return err
		}
	}
	return nil
}

func (e *Engine) runLife(ctx context.Context, l *life, handler http.Handler) error {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", e.Address)
	if err != nil {
		return errors.Wrap(err, "standin: listen")
	}
	lifeCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(l.ctx, cancel)
	defer stop()
	return serveListener(lifeCtx, listener, handler)
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	e.once.Do(e.init)
	r := chi.NewRouter()
	r.Get("/counts", e.handleCounts)
	r.Post("/fault", e.handleFault)
	r.Group(func(r chi.Router) {
		r.Use(e.gate)
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
	setDefault(&e.SlowPerStream, defaultSlowPerStream)
	setDefault(&e.PrefillPerByte, defaultPrefillPerByte)
	setDefault(&e.ReportLag, defaultReportLag)
	setDefault(&e.EventLag, defaultEventLag)
	setDefault(&e.EventGap, defaultEventGap)
	setDefault(&e.AdapterFastest, defaultAdapterFastest)
	setDefault(&e.AdapterSlowest, defaultAdapterSlowest)
	setDefault(&e.UnloadTime, defaultUnloadTime)
	setDefault(&e.RestartDelay, defaultRestartDelay)

	e.random = rand.New(rand.NewPCG(e.Seed, uint64(len(e.Backend))))
	e.life = newLife(time.Time{})
	e.checkpoints = newCheckpointCache(e.Checkpoints)
	e.runs = map[string]int{}
	e.orders = map[string]bool{}
}

// setDefault sets a field that was left zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (e *Engine) currentLife() *life {
	e.once.Do(e.init)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life
}

// gate holds calls back while the engine is frozen and cuts them while it restarts.
func (e *Engine) gate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l := e.currentLife()
		if time.Now().Before(l.startsAt) || e.isCut(r) {
			cutConnection()
		}
		if !e.waitWhileFrozen(l.ctx) {
			cutConnection()
		}
		next.ServeHTTP(w, r)
		if l.ctx.Err() != nil {
			cutConnection()
		}
	})
}

// crash loses everything that the engine holds and starts a new life. The caller holds the mutex.
func (e *Engine) crash(now time.Time) {
	e.counts.Crashes++
	e.life.end()
	for key := range e.life.residents {
		e.recordReplica(key, false, now)
	}
	e.life = newLife(now.Add(e.RestartDelay))
	e.batch = batch{}
	e.prefixes = prefixCache{}
	e.reports = nil
}

// recordReplica tells the census. The caller holds the mutex, so that the census never sees a replica late.
func (e *Engine) recordReplica(key model.ModelKey, loaded bool, now time.Time) {
	if e.Census == nil {
		return
	}
	e.Census.Record(CensusEvent{Backend: e.Backend, Key: key, Loaded: loaded, At: now})
}
