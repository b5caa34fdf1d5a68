// Package faults runs entry hosts against stand-ins of the platform, injects faults from a seeded schedule and checks the
// system's guarantees.
package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	startTimeout = 10 * time.Second
	callerCount  = 24
)

// Processes starts, signals and stops the processes of entry hosts.
type Processes interface {
	// Start starts an entry host with a settings file.
	Start(name, settingsFile string) error
	Kill(name string) error
	Pause(name string) error
	Resume(name string) error
	// Terminate requests a graceful shutdown, waits until the process has exited and returns its exit code.
	Terminate(ctx context.Context, name string) (int, error)
}

// Run is a test run with faults from a seeded schedule.
type Run struct {
	Seed     uint64
	Duration time.Duration
	WarmUp   time.Duration // without faults
	CoolDown time.Duration // without faults

	RecoveryTimeout time.Duration // after the cool-down, within which each model must be served
	ConfigInterval  time.Duration // interval between configuration changes

	ExcludedFaults    []string // kinds of faults to leave out of the schedule
	SettingsDirectory string   // for settings files
	DumpDirectory     string   // directory for dumps of the state at the end of the run; empty for none
	Processes         Processes
	Log               func(format string, values ...any)

	schedule    []fault // generated from Seed if nil
	tally       *Tally
	platform    *platform
	hosts       []*entryHost
	faultLog    faultLog
	exchangeLog exchangeLog
	config      *configuration
	links       *links
	injector    *stepInjector
	slots       *slotHistory
	settings    settingsWriter
}

// Execute runs the schedule and returns the results of the checks.
func (r *Run) Execute(ctx context.Context) (*Tally, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.tally = &Tally{}
	if err := r.startAll(ctx); err != nil {
		return r.tally, err
	}
	var callers sync.WaitGroup
	calling, stopCalling := context.WithCancel(ctx)
	defer stopCalling()
	r.startCallers(calling, &callers)

	sleep(ctx, r.WarmUp)
	if r.schedule == nil {
		r.schedule = newSchedule(r.random(scheduleStream), r.faultTime(), r.hosts, r.platform)
		r.schedule = slices.DeleteFunc(r.schedule, func(f fault) bool { return slices.Contains(r.ExcludedFaults, string(f.kind)) })
	}
	r.injectSchedule(ctx)
	r.Log("faults: all faults ended, cooling down")
	sleep(ctx, r.CoolDown)
	r.checkRecovery(ctx)
	stopCalling()
	callers.Wait()
	r.checkResults()
	return r.tally, nil
}

// Streams of the random number generator. Callers use the numbers from callerStream on.
const (
	scheduleStream = iota
	configStream
	callerStream
)

func (r *Run) random(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(r.Seed, stream)) }

func (r *Run) faultTime() time.Duration {
	return max(time.Second, r.Duration-r.WarmUp-r.CoolDown)
}

func (r *Run) startAll(ctx context.Context) error {
	free := newAddressPool()
	p := newPlatform(free)
	r.platform = p
	r.hosts = newEntryHosts(p.zones, free)
	var err error
	if r.links, err = newLinks(ctx, p.zones, r.hosts); err != nil {
		return err
	}
	p.hosts.View = r.links
	r.injector = &stepInjector{run: r, ctx: ctx, owners: map[string]string{}}
	r.slots = &slotHistory{}
	p.store.WriteSink = writeSinks{r.slots, r.injector}
	for _, e := range p.engines {
		e.OrderSink = r.injector
	}
	p.start(ctx, r.Log)
	r.config = newConfiguration(p, r.random(configStream))
	if err := r.config.writeAll(ctx); err != nil {
		return err
	}
	if err := os.MkdirAll(r.SettingsDirectory, 0o700); err != nil {
		return errors.Wrap(err, "faults: create settings directory")
	}
	r.settings = settingsWriter{directory: r.SettingsDirectory, platform: p, hosts: r.hosts}
	for _, h := range r.hosts {
		p.hosts.Set(h.hostListEntry())
		if err := r.startHost(h); err != nil {
			return err
		}
	}
	return r.waitUntilReady(ctx)
}

func (r *Run) startHost(h *entryHost) error {
	file, err := r.settings.write(h)
	if err != nil {
		return err
	}
	return r.Processes.Start(h.name, file)
}

// waitUntilReady waits until all entry hosts report that they are ready.
func (r *Run) waitUntilReady(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	for _, h := range r.hosts {
		for !h.isReady(ctx) {
			if time.Now().After(deadline) {
				return &NotReadyError{Host: h.name}
			}
			sleep(ctx, probeInterval)
		}
	}
	return nil
}

// startCallers starts the callers, the configuration changes and checks, and the load balancer's probes.
func (r *Run) startCallers(ctx context.Context, running *sync.WaitGroup) {
	for _, h := range r.hosts {
		running.Go(func() { h.probe(ctx) })
		running.Go(func() { r.watchConfiguration(ctx, h) })
	}
	running.Go(func() { r.changeConfiguration(ctx) })
	for i := range uint64(callerCount) {
		c := &caller{run: r, number: int(i), random: r.random(callerStream + i)}
		running.Go(func() { c.loop(ctx) })
	}
}

// NotReadyError reports that an entry host was not ready within the start timeout.
type NotReadyError struct {
	Host string
}

// Error implements error.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("faults: entry host %s was not ready within %s", e.Host, startTimeout)
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
