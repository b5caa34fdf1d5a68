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
	startDelay   = time.Second // between readiness and the start of the load
)

// Runner runs the variants of a plan one after another.
type Runner struct {
	Plan     Plan
	Revision string // of the program
	Logger   *zap.Logger
}

// runData holds the data of a run of a variant.
type runData struct {
	samples           []sample
	idle              *idleMeter
	store             standin.StoreCounts
	weights           standin.WeightCounts
	overcommitted     int
	surplus           int // peak number of replicas beyond the decided number, added up over the models
	duplicateBookings int // bookings that ran more than once
	crashes           int // of engines
}

// Run runs each variant Repeats times, each time with another seed.
func (r *Runner) Run(ctx context.Context) (Result, error) {
	result := Result{Plan: r.Plan.Source, Name: r.Plan.Name, Scale: r.Plan.Scale, Seed: r.Plan.Seed, Revision: r.Revision, StartedAt: time.Now().UTC()}
	for _, v := range r.Plan.Variants {
		var runs []runData
		for i := range r.Plan.Repeats {
			data, err := r.runOnce(ctx, v, r.Plan.Seed+uint64(i))
			if err != nil {
				return result, errors.Wrapf(err, "measure: variant %s, repeat %d", v.Name, i+1)
			}
			runs = append(runs, data)
		}
		result.Variants = append(result.Variants, summarize(r.Plan, v, runs))
	}
	return result, nil
}

// runOnce starts a fleet, runs a variant on it and stops the fleet.
func (r *Runner) runOnce(ctx context.Context, v Variant, seed uint64) (runData, error) {
	f := r.build(v, seed)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ended := make(chan error, 1)
	go func() {
		err := f.Run(ctx)
		cancel(errors.Wrap(err, "measure: fleet stopped"))
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
		return data, errors.Newf("measure: fleet did not stop within %s", stopTimeout)
	}
}

// build returns a fleet with the settings and policies of a variant.
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

// measure sends the load, injects the faults and collects the data of a run.
func (r *Runner) measure(ctx context.Context, f *fleet.Fleet, v Variant, seed uint64) (runData, error) {
	if err := r.prepare(ctx, f); err != nil {
		return runData{}, err
	}
	arrivals := Arrivals(r.Plan, len(f.EntryHosts), seed)
	idle := newIdleMeter(f.ReplicaCounter, r.Plan.Models.Count)
	start := time.Now().Add(startDelay)
	counted := start.Add(r.Plan.WarmUp)
	var background sync.WaitGroup
	faults := make(chan error, 1)
	background.Go(func() { faults <- injectFaults(ctx, r.Plan, f, start) })
	background.Go(func() { idle.run(ctx, counted, counted.Add(r.Plan.Duration)) })
	samples := r.sendLoad(ctx, f, v, arrivals, idle, start)
	background.Wait()
	data := collect(r.Plan, f)
	data.samples = samples
	data.idle = idle
	return data, <-faults
}

// prepare writes the records of the models and waits until all entry hosts are ready.
func (r *Runner) prepare(ctx context.Context, f *fleet.Fleet) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := f.WaitForStore(ctx); err != nil {
		return err
	}
	for _, body := range records(r.Plan) {
		if err := f.PutRecord(ctx, body); err != nil {
			return err
		}
	}
	return f.WaitForEntryHosts(ctx)
}

// sendLoad sends each request when it is due, even if earlier ones are still unanswered (open loop).
func (r *Runner) sendLoad(ctx context.Context, f *fleet.Fleet, v Variant, arrivals []Arrival, idle *idleMeter, start time.Time) []sample {
	addresses := make([]string, 0, len(f.EntryHosts))
	for _, s := range f.EntryHosts {
		addresses = append(addresses, s.CallerAddress)
	}
	c := newCaller(v.classes(r.Plan), addresses)
	defer c.client.CloseIdleConnections()
	samples := make([]sample, len(arrivals))
	var running sync.WaitGroup
	for i, a := range arrivals {
		dueAt := start.Add(a.Due)
		if !waitUntil(ctx, dueAt) {
			break
		}
		running.Go(func() { samples[i] = r.sendRequest(ctx, c, a, dueAt, idle) })
	}
	running.Wait()
	return samples
}

// sendRequest sends a request and counts it as in flight for its model until it ends.
func (r *Runner) sendRequest(ctx context.Context, c *caller, a Arrival, dueAt time.Time, idle *idleMeter) sample {
	if r.Plan.Classes[a.Class].Service != "" {
		return c.call(ctx, a, dueAt, false)
	}
	cold := idle.isCold(a.Model)
	idle.inFlight[a.Model].Add(1)
	defer idle.inFlight[a.Model].Add(-1)
	return c.call(ctx, a, dueAt, cold)
}

// collect reads the counters of the stand-ins.
func collect(p Plan, f *fleet.Fleet) runData {
	data := runData{store: f.Store.Counts(), weights: f.Weights.Counts()}
	for _, b := range f.Backends {
		counts := b.Engine.Counts()
		data.overcommitted += counts.MemoryOvercommitted
		data.crashes += counts.Crashes
	}
	for _, count := range f.ReplicaCounter.Counts() {
		data.surplus += max(0, count.Peak-p.Models.Replicas)
	}
	for _, e := range f.Endpoints {
		for _, booking := range e.Service.Counts().Bookings {
			if booking.Runs > 1 {
				data.duplicateBookings++
			}
		}
	}
	return data
}
