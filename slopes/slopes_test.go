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
	binary = flag.String("slopes-binary", "", "the built binary; without it nothing is measured")
	output = flag.String("slopes-output", "", "file that the tables are written to")
	port   = flag.Int("slopes-port", 26_000, "first of the ports that are listened at")
	only   = flag.String("slopes-only", "", "measure only this variable")
	settle = flag.Duration("slopes-settle", 20*time.Second, "time before each measurement")
	window = flag.Duration("slopes-window", 15*time.Second, "length of each measurement")
)

func TestFitFindsTheLine(t *testing.T) {
	costs := []Cost{{Value: 0, CorePercent: 1}, {Value: 10, CorePercent: 3}, {Value: 20, CorePercent: 5}, {Value: 40, CorePercent: 9}}
	line := Fit(costs)[0]
	if got, want := fmt.Sprintf("%.3f %.3f %.3f", line.Intercept, line.Slope, line.RSquared), "1.000 0.200 1.000"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

func TestSlopes(t *testing.T) {
	if *binary == "" {
		t.Skip("run by make slopes")
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

// hostProcesses starts entry hosts as processes and knows their IDs.
type hostProcesses struct {
	directory string
	mu        sync.Mutex
	pids      map[string]int
	cancels   map[string]context.CancelFunc
	held      string // the host that is not started again for now
	freed     chan struct{}
}

// runAgain runs an entry host, and starts it again each time that it was killed.
func (p *hostProcesses) runAgain(ctx context.Context, s settings.Settings, logger *zap.Logger) error {
	for ctx.Err() == nil {
		life, end := context.WithCancel(ctx)
		p.mu.Lock()
		p.cancels[s.Name] = end
		p.mu.Unlock()
		_ = p.run(life, s, logger)
		end()
		p.awaitRelease(ctx, s.Name)
	}
	return ctx.Err()
}

// hold kills a host and keeps it from starting again until release.
func (p *hostProcesses) hold(name string) {
	p.mu.Lock()
	p.held, p.freed = name, make(chan struct{})
	p.mu.Unlock()
	p.kill(name)
}

func (p *hostProcesses) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held != "" {
		close(p.freed)
		p.held = ""
	}
}

func (p *hostProcesses) awaitRelease(ctx context.Context, name string) {
	p.mu.Lock()
	held, freed := p.held == name, p.freed
	p.mu.Unlock()
	if !held {
		return
	}
	select {
	case <-freed:
	case <-ctx.Done():
	}
}

// restart kills the named hosts, which start again, and returns once the new processes run.
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
	r := &remote{client: client, target: f.EntryHosts[0].PeerAddress, backends: size.RemoteBackends}
	if err := r.pushAll(ctx, size.Models); err != nil {
		t.Fatal(err)
	}
	disturbing, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		size.disturb(disturbing, f, r)
	}()
	time.Sleep(*settle)
	began, storeBegan := processes.sample(t, ctx, f), f.Store.Counts()
	time.Sleep(*window)
	finished, storeEnded := processes.sample(t, ctx, f), f.Store.Counts()
	cost := costOf(point.Value, began, finished, Usage{Began: storeBegan, Ended: storeEnded, Length: *window})
	cost.InForce = longestInForce(t, f)
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

func prepare(t *testing.T, ctx context.Context, f *fleet.Fleet, size Size) {
	t.Helper()
	waiting, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	if err := f.WaitStore(waiting); err != nil {
		t.Fatal(err)
	}
	listRemote(f, size.RemoteBackends)
	for i := range size.Models {
		for f.PutRecord(waiting, size.Record(i, 1)) != nil && waiting.Err() == nil {
			time.Sleep(100 * time.Millisecond) // the starting hosts use up the store's rate
		}
	}
	if err := f.WaitReady(waiting); err != nil {
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

// longestInForce returns the longest time from a record's writing to its being in force on a host.
func longestInForce(t *testing.T, f *fleet.Fleet) time.Duration {
	t.Helper()
	longest := time.Duration(0)
	for _, s := range f.EntryHosts {
		state, err := fleet.ReadState(t.Context(), s.OperatorAddress)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range state.Records {
			if r.Generation > 1 {
				longest = max(longest, r.AppliedAt.Sub(r.WrittenAt))
			}
		}
	}
	return longest
}
