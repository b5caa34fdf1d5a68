package measure

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"citronspread/fleet"
	"citronspread/standin"
)

const (
	readyTimeout = time.Minute
	stopTimeout  = time.Minute
	startDelay   = time.Second // between readiness and the first request
)

// Runner runs the variants of a plan, one after another.
type Runner struct {
	Plan     Plan
	Revision string // of the program
	Logger   *zap.Logger
}

// runData is what one run of a variant gave.
type runData struct {
	samples       []sample
	idle          *idleMeter
	store         standin.StoreCounts
	weights       standin.WeightCounts
	overcommitted int
	surplus       int // replicas beyond the decided number, at their peak
	doubledRuns   int // bookings that ran more than once
	crashes       int
}

// Run runs each variant with each seed.
func (r *Runner) Run(ctx context.Context) (Result, error) {
	result := Result{Plan: r.Plan.Text, Name: r.Plan.Name, Scale: r.Plan.Scale, Seed: r.Plan.Seed, Revision: r.Revision, StartedAt: time.Now().UTC()}
	for _, v := range r.Plan.Variants {
		var runs []runData
		for i := range r.Plan.Repeats {
			data, err := r.runOnce(ctx, v, r.Plan.Seed+uint64(i))
			if err != nil {
				return result, errors.Wrapf(err, "measure: variant %s, repeat %d", v.Name, i+1)
			}
			runs = append(runs, data)
		}
		result.Variants = append(result.Variants, summarise(r.Plan, v, runs))
	}
	return result, nil
}

func (r *Runner) runOnce(ctx context.Context, v Variant, seed uint64) (runData, error) {
	f := r.build(v, seed)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ended := make(chan error, 1)
	go func() {
		err := f.Run(ctx)
		cancel(errors.Wrap(err, "measure: fleet ended"))
		ended <- err
	}()
	data, err := r.measure(ctx, f, v, seed)
	if err != nil && context.Cause(ctx) != nil {
		err = context.Cause(ctx)
	}
	cancel(nil)
	select {
	case <-ended:
		return data, err
	case <-time.After(stopTimeout):
		return data, errors.New("measure: the fleet does not stop")
	}
}

// build returns the fleet of a variant.
func (r *Runner) build(v Variant, seed uint64) *fleet.Fleet {
	layout := r.Plan.Layout
	layout.Seed = seed
	f := layout.Build(r.Logger)
	f.RunEntryHost = v.runEntryHost
	for i := range f.EntryHosts {
		v.apply(&f.EntryHosts[i])
	}
	return f
}

func (r *Runner) measure(ctx context.Context, f *fleet.Fleet, v Variant, seed uint64) (runData, error) {
	if err := r.prepare(ctx, f); err != nil {
		return runData{}, err
	}
	arrivals := Arrivals(r.Plan, len(f.EntryHosts), seed)
	idle := newIdleMeter(f.Census, r.Plan.Models.Count)
	began := time.Now().Add(startDelay)
	counted := began.Add(r.Plan.WarmUp)
	var background sync.WaitGroup
	faults := make(chan error, 1)
	background.Go(func() { faults <- injectFaults(ctx, r.Plan, f, began) })
	background.Go(func() { idle.run(ctx, counted, counted.Add(r.Plan.Duration)) })
	samples := r.load(ctx, f, v, arrivals, idle, began)
	background.Wait()
	data := collect(r.Plan, f)
	data.samples = samples
	data.idle = idle
	return data, <-faults
}

// prepare declares the models and waits until all entry hosts are ready.
func (r *Runner) prepare(ctx context.Context, f *fleet.Fleet) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := f.WaitStore(ctx); err != nil {
		return err
	}
	for _, body := range records(r.Plan) {
		if err := f.PutRecord(ctx, body); err != nil {
			return err
		}
	}
	return f.WaitReady(ctx)
}

// load sends each request when it is due, whether or not earlier ones were answered.
func (r *Runner) load(ctx context.Context, f *fleet.Fleet, v Variant, arrivals []Arrival, idle *idleMeter, began time.Time) []sample {
	addresses := make([]string, 0, len(f.EntryHosts))
	for _, s := range f.EntryHosts {
		addresses = append(addresses, s.CallerAddress)
	}
	c := newCaller(v.classes(r.Plan), addresses)
	defer c.client.CloseIdleConnections()
	samples := make([]sample, len(arrivals))
	var open sync.WaitGroup
	for i, a := range arrivals {
		dueAt := began.Add(a.Due)
		if !waitUntil(ctx, dueAt) {
			break
		}
		open.Go(func() { samples[i] = r.callOne(ctx, c, a, dueAt, idle) })
	}
	open.Wait()
	return samples
}

func (r *Runner) callOne(ctx context.Context, c *caller, a Arrival, dueAt time.Time, idle *idleMeter) sample {
	if r.Plan.Classes[a.Class].Service != "" {
		return c.call(ctx, a, dueAt, false)
	}
	cold := idle.isCold(a.Model)
	idle.open[a.Model].Add(1)
	defer idle.open[a.Model].Add(-1)
	return c.call(ctx, a, dueAt, cold)
}

// collect reads what the stand-ins counted.
func collect(p Plan, f *fleet.Fleet) runData {
	data := runData{store: f.Store.Counts(), weights: f.Weights.Counts()}
	for _, b := range f.Backends {
		counts := b.Engine.Counts()
		data.overcommitted += counts.MemoryOvercommitted
		data.crashes += counts.Crashes
	}
	for _, count := range f.Census.Counts() {
		data.surplus += max(0, count.Peak-p.Models.Replicas)
	}
	for _, e := range f.Endpoints {
		for _, booking := range e.Service.Counts().Bookings {
			if booking.Runs > 1 {
				data.doubledRuns++
			}
		}
	}
	return data
}
