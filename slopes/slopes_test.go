package slopes

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"citronspread/fleet"
	"citronspread/peer"
	"citronspread/settings"
)

var (
	binary = flag.String("slopes-binary", "", "path of the built program; tests that need it are skipped if empty")
	output = flag.String("slopes-output", "", "file to write the tables to")
	port   = flag.Int("slopes-port", 26_000, "first port to listen on")
	only   = flag.String("slopes-only", "", "only variable to measure")
	settle = flag.Duration("slopes-settle", 20*time.Second, "time before each measurement")
	window = flag.Duration("slopes-window", 15*time.Second, "length of each measurement")
)

// TestFitFindsTheLine checks the regression on points that lie exactly on a line.
func TestFitFindsTheLine(t *testing.T) {
	costs := []Cost{{Value: 0, CorePercent: 1}, {Value: 10, CorePercent: 3}, {Value: 20, CorePercent: 5}, {Value: 40, CorePercent: 9}}
	line := Fit(costs)[0]
	if got, want := fmt.Sprintf("%.3f %.3f %.3f", line.Intercept, line.Slope, line.RSquared), "1.000 0.200 1.000"; got != want {
		t.Errorf("got intercept, slope and R² %s, want %s", got, want)
	}
}

// TestSlopes measures the cost of every size and prints the tables. It has no limits for the costs.
func TestSlopes(t *testing.T) {
	if *binary == "" {
		t.Skip("-slopes-binary is not set: use make slopes")
	}
	report := ""
	for _, series := range AllSeries() {
		if *only != "" && string(series.Variable) != *only {
			continue
		}
		var costs []Cost
		for _, point := range series.Points {
			cost := measurePoint(t, point)
			t.Logf("%s %g: %+v", series.Variable, point.Value, cost)
			costs = append(costs, cost)
		}
		report += Table(series.Variable, costs) + "\n"
	}
	fmt.Print(report)
	if *output != "" {
		if err := os.WriteFile(*output, []byte(report), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// hostProcesses runs entry hosts as processes and records their process IDs.
type hostProcesses struct {
	directory string
	mu        sync.Mutex
	pids      map[string]int
	cancels   map[string]context.CancelFunc
	stopped   string        // host that is kept stopped
	released  chan struct{} // closed by release
}

// runWithRestarts runs an entry host and restarts it whenever it is killed, until ctx ends.
func (p *hostProcesses) runWithRestarts(ctx context.Context, s settings.Settings, logger *zap.Logger) error {
	for ctx.Err() == nil {
		processCtx, cancel := context.WithCancel(ctx)
		p.mu.Lock()
		p.cancels[s.Name] = cancel
		p.mu.Unlock()
		_ = p.run(processCtx, s, logger)
		cancel()
		p.waitForRelease(ctx, s.Name)
	}
	return ctx.Err()
}

// stop kills a host and keeps it stopped until release.
func (p *hostProcesses) stop(name string) {
	p.mu.Lock()
	p.stopped, p.released = name, make(chan struct{})
	p.mu.Unlock()
	p.kill(name)
}

// release lets the host that is kept stopped restart.
func (p *hostProcesses) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped != "" {
		close(p.released)
		p.stopped = ""
	}
}

// waitForRelease waits for release if the host is kept stopped.
func (p *hostProcesses) waitForRelease(ctx context.Context, name string) {
	p.mu.Lock()
	stopped, released := p.stopped == name, p.released
	p.mu.Unlock()
	if !stopped {
		return
	}
	select {
	case <-released:
	case <-ctx.Done():
	}
}

// restart kills the named hosts, which are then restarted, and returns once the new processes run.
func (p *hostProcesses) restart(names ...string) {
	before := p.kill(names...)
	for i, name := range names {
		for p.pid(name) == before[i] {
			time.Sleep(time.Millisecond)
		}
	}
}

// kill kills the named hosts and returns the IDs of their processes.
func (p *hostProcesses) kill(names ...string) []int {
	p.mu.Lock()
	defer p.mu.Unlock()
	pids := make([]int, len(names))
	for i, name := range names {
		pids[i] = p.pids[name]
		p.cancels[name]()
	}
	return pids
}

func (p *hostProcesses) pid(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pids[name]
}

// run runs the process of an entry host until it exits or ctx ends, which kills it.
func (p *hostProcesses) run(ctx context.Context, s settings.Settings, _ *zap.Logger) error {
	file := filepath.Join(p.directory, s.Name+".yaml")
	if err := os.WriteFile(file, []byte(SettingsFile(s)), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(p.directory, s.Name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.CommandContext(ctx, *binary, "serve", "--settings", file)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Cancel = func() error { return cmd.Process.Signal(syscall.SIGKILL) }
	if err := cmd.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	p.pids[s.Name] = cmd.Process.Pid
	p.mu.Unlock()
	_ = cmd.Wait()
	return ctx.Err()
}

// measurePoint runs the fleet of a size and returns its cost.
func measurePoint(t *testing.T, point Point) Cost {
	t.Helper()
	size := point.Size
	f := size.Layout(*port).Build(zap.NewNop())
	processes := &hostProcesses{directory: t.TempDir(), pids: make(map[string]int)}
	f.RunEntryHost = processes.run
	ctx, stopFleet := runFleet(t, f)
	defer stopFleet()
	prepare(t, ctx, f, size)
	client, err := peer.NewClient(&peer.Traffic{})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	r := &remotePublisher{client: client, target: f.EntryHosts[0].PeerAddress, backends: size.RemoteBackends}
	if err := r.pushAll(ctx, size.Models); err != nil {
		t.Fatal(err)
	}
	changing, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		size.applyChanges(changing, f, r)
	}()
	time.Sleep(*settle)
	first, storeStart := processes.sample(t, ctx, f), f.Store.Counts()
	time.Sleep(*window)
	last, storeEnd := processes.sample(t, ctx, f), f.Store.Counts()
	cost := costOf(point.Value, first, last, StoreUsage{Start: storeStart, End: storeEnd, Duration: *window})
	cost.ActivationTime = maxActivationTime(t, f)
	stop()
	<-done
	return cost
}

// runFleet runs a fleet until the returned function is called.
func runFleet(t *testing.T, f *fleet.Fleet) (context.Context, func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = f.Run(ctx)
	}()
	return ctx, func() {
		cancel()
		<-ended
	}
}

// prepare writes the records and waits until all entry hosts are ready.
func prepare(t *testing.T, ctx context.Context, f *fleet.Fleet, size Size) {
	t.Helper()
	waiting, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	if err := f.WaitForStore(waiting); err != nil {
		t.Fatal(err)
	}
	addRemoteBackends(f, size.RemoteBackends)
	for i := range size.Models {
		for f.PutRecord(waiting, size.Record(i, 1)) != nil && waiting.Err() == nil {
			time.Sleep(100 * time.Millisecond) // starting hosts exhaust the store's rate limit
		}
	}
	if err := f.WaitForEntryHosts(waiting); err != nil {
		t.Fatal(err)
	}
}

func (p *hostProcesses) sample(t *testing.T, ctx context.Context, f *fleet.Fleet) []Sample {
	t.Helper()
	samples := make([]Sample, len(f.EntryHosts))
	for i, s := range f.EntryHosts {
		sample, err := TakeSample(ctx, time.Now(), p.pids[s.Name], s.Name, s.OperatorAddress)
		if err != nil {
			t.Fatal(err)
		}
		samples[i] = sample
	}
	return samples
}

// maxActivationTime returns the maximum time from the write of a record until it is active on a host. It leaves out first
// generations, which are written while the hosts start.
func maxActivationTime(t *testing.T, f *fleet.Fleet) time.Duration {
	t.Helper()
	maxTime := time.Duration(0)
	for _, s := range f.EntryHosts {
		state, err := fleet.ReadState(t.Context(), s.OperatorAddress)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range state.Records {
			if r.Generation > 1 {
				maxTime = max(maxTime, r.AppliedAt.Sub(r.WrittenAt))
			}
		}
	}
	return maxTime
}
