// Package faults runs entry hosts beside stand-ins under a seeded schedule of faults and checks what must always hold.
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

// Bounds of a run.
const (
	startTimeout = 10 * time.Second
	callerCount  = 24
)

// Processes controls the processes of entry hosts.
type Processes interface {
	// Start runs an entry host with the settings in a file.
	Start(name, settingsFile string) error
	Kill(name string) error
	Freeze(name string) error
	Thaw(name string) error
	// Terminate asks for a graceful shutdown, waits for its end and returns the exit code.
	Terminate(ctx context.Context, name string) (int, error)
}

// Run is one seeded run.
type Run struct {
	Seed     uint64
	Duration time.Duration
	WarmUp   time.Duration // without faults
	CoolDown time.Duration // without faults

	RecoveryTime time.Duration // until each model must be served after the faults
	ConfigEvery  time.Duration // between changes of the configuration

	Except    []string // kinds of faults that are left out
	Directory string   // for settings files
	Dumps     string   // directory for dumps of the state when the recovery fails; none when empty
	Processes Processes
	Log       func(format string, values ...any)

	schedule     []fault // drawn from the seed when nil
	tally        *Tally
	platform     *platform
	hosts        []*entryHost
	disturbances disturbances
	exchanges    exchanges
	config       *configuration
	links        *links
	trap         *trap
	slots        *slotHistory
	settings     settingsWriter
}

// Execute runs the schedule and returns what was checked.
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
		r.schedule = slices.DeleteFunc(r.schedule, func(f fault) bool { return slices.Contains(r.Except, string(f.kind)) })
	}
	r.playSchedule(ctx)
	r.Log("faults: all faults ended, cooling down")
	sleep(ctx, r.CoolDown)
	r.checkRecovery(ctx)
	stopCalling()
	callers.Wait()
	r.judge()
	return r.tally, nil
}

// Streams of random numbers.
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
	free := newAddresses()
	p := newPlatform(free)
	r.platform = p
	r.hosts = newEntryHosts(p.zones, free)
	var err error
	if r.links, err = newLinks(ctx, p.zones, r.hosts); err != nil {
		return err
	}
	p.hosts.View = r.links
	r.trap = &trap{run: r, ctx: ctx, owners: map[string]string{}}
	r.slots = &slotHistory{}
	p.store.Written = writeSinks{r.slots, r.trap}
	for _, e := range p.engines {
		e.Orders = r.trap
	}
	p.start(ctx, r.Log)
	r.config = newConfiguration(p, r.random(configStream))
	if err := r.config.putAll(ctx); err != nil {
		return err
	}
	if err := os.MkdirAll(r.Directory, 0o700); err != nil {
		return errors.Wrap(err, "faults: settings directory")
	}
	r.settings = settingsWriter{directory: r.Directory, platform: p, hosts: r.hosts}
	for _, h := range r.hosts {
		p.hosts.Set(h.line())
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

// waitUntilReady waits until all entry hosts say that they are ready.
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

// startCallers starts the callers, the watches over the configuration and the balancer's probes.
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

// NotReadyError tells that an entry host was not ready in time.
type NotReadyError struct {
	Host string
}

// Error implements error.
func (e *NotReadyError) Error() string { return fmt.Sprintf("faults: %s is not ready", e.Host) }

// sleep waits for a duration or for the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
