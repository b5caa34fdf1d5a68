package pathcheck

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"citronspread/model"
)

const (
	benchStreams    = 300
	benchTokens     = 100 // of each streamed response
	benchTime       = 6 * time.Second
	benchPause      = 5 * time.Millisecond // between two latency probes
	benchSamples    = 400                  // per prober and target
	benchProbers    = 4                    // concurrent probers
	openStreams     = 1000
	openTokens      = 2000
	openSettle      = 4 * time.Second // until all streams are open, and length of the measurement after that
	ticksPerSecond  = 100             // of the times in /proc
	latencyDigits   = 3
	benchEngineRate = "100" // tokens per second of a stream
)

// target is a server under load: the engine itself or an entry host.
type target struct {
	name    string
	address string
}

// throughput is the measured throughput of a target.
type throughput struct {
	requests float64 // per second
	tokens   float64 // per second
	cores    float64 // processor cores used by the entry host
}

// TestBench compares an entry host with direct access to its engine. It fails if a response is incomplete, and has no
// limits for the figures.
func TestBench(t *testing.T) {
	if *binary == "" {
		t.Skip("-path-binary is not set: use make bench")
	}
	c, entry := startBench(t)
	targets := []target{{"engine", c.engines[0]}, {"entry host", entry.caller}}
	pid := entry.process.command.Process.Pid
	fmt.Printf("bench: entry host idle: %.0f MB resident\n", residentMB(t, pid))
	c.benchLatency(t, targets)
	var rates []throughput
	for _, to := range targets {
		got := c.benchStreams(t, to, pid)
		rates = append(rates, got)
		fmt.Printf("bench: %s, %d streams: %.0f requests and %.0f tokens a second\n", to.name, benchStreams, got.requests, got.tokens)
	}
	fmt.Printf("bench: ratio %.3f, entry host used %.2f cores, %.0f tokens a second a core\n",
		rates[1].tokens/rates[0].tokens, rates[1].cores, rates[1].tokens/rates[1].cores)
	c.benchOpenStreams(t, targets[1], pid)
}

// startBench starts the store, the host list, one engine and one entry host.
func startBench(t *testing.T) (*cluster, *entryHost) {
	t.Helper()
	free := freeAddresses(t, 6)
	c := &cluster{store: free[0], hosts: free[1], engines: free[2:3]}
	entry := &entryHost{name: "bench-entry", zone: zones[0], caller: free[3], peer: free[4], operator: free[5]}
	// The settings name the entry hosts 0, 2 and 4 as seeds.
	c.entries = []*entryHost{entry, entry, entry, entry, entry}
	start(t, "store", "stand-in", "store", "--address", c.store)
	start(t, "engine", "stand-in", "engine", "--address", c.engines[0], "--backend", backendName(0), "--remote-rate", "16e9",
		"--batch", "2000", "--slow-per-stream", "0.000001", "--tokens-per-second", benchEngineRate)
	hosts := []model.Host{
		{Name: entry.name, Kind: model.KindEntry, Zone: entry.zone, Region: region, Address: entry.peer, State: model.HostLive},
		{
			Name: backendName(0), Kind: model.KindBackend, Zone: zones[0], Region: region,
			Address: c.engines[0], State: model.HostLive, Service: engineService,
		},
	}
	start(t, "hosts", "stand-in", "hosts", "--address", c.hosts, "--file", writeHostList(t, hosts))
	waitUntil(t, "store", func() bool { return isServing(c.store, "/counts") })
	if out, code := runCommand(t, "record", "put", writeFile(t, "scribe.yaml", recordVersion1), "--store", c.store); code != 0 {
		t.Fatalf("got exit code %d: %s", code, out)
	}
	entry.process = start(t, entry.name, "serve", "--settings", writeFile(t, "entry.yaml", c.settings(entry)))
	waitUntil(t, entry.name, func() bool { return isServing(entry.operator, "/readyz") })
	checkResponse(t, entry.caller, scribe)
	return c, entry
}

// benchBody returns the body of a streamed request for a number of tokens.
func benchBody(tokens int) string {
	r := chatRequest{model: scribe.key, prompt: "a bench", tokens: tokens}
	return r.body(true)
}

// benchLatency measures the latency of requests for one token to each target while the entry host serves
// benchStreams/2 streams.
func (c *cluster) benchLatency(t *testing.T, targets []target) {
	t.Helper()
	stop := make(chan struct{})
	var streams sync.WaitGroup
	defer streams.Wait()
	defer close(stop)
	for range benchStreams / 2 {
		streams.Go(func() { readUntilStopped(targets[1].address, benchBody(openTokens), new(atomic.Int64), stop) })
	}
	time.Sleep(openSettle)
	var histograms []*latencies
	for range targets {
		histograms = append(histograms, &latencies{histogram: hdrhistogram.New(1, time.Minute.Microseconds(), latencyDigits)})
	}
	var probes sync.WaitGroup
	for range benchProbers {
		probes.Go(func() { probe(t, targets, histograms) })
	}
	probes.Wait()
	for _, quantile := range []float64{50, 99} {
		direct, through := histograms[0].at(quantile), histograms[1].at(quantile)
		fmt.Printf("bench: one token beside %d streams, p%.0f: %.2f ms at the engine, %.2f ms through the entry host, %.2f ms added\n",
			benchStreams/2, quantile, float64(direct)/1_000, float64(through)/1_000, float64(through-direct)/1_000)
	}
}

// latencies is a histogram in microseconds for concurrent use.
type latencies struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func (l *latencies) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.histogram.RecordValue(d.Microseconds())
}

func (l *latencies) at(quantile float64) int64 { return l.histogram.ValueAtQuantile(quantile) }

// probe sends requests for one token to the targets in turn and records their latencies.
func probe(t *testing.T, targets []target, histograms []*latencies) {
	body := benchBody(1)
	for range benchSamples {
		for i, to := range targets {
			startedAt := time.Now()
			if n, err := readTokens(to.address, body); err != nil || n != 1 {
				t.Errorf("%s: got %d tokens, %v, want 1", to.name, n, err)
				return
			}
			histograms[i].add(time.Since(startedAt))
			time.Sleep(benchPause)
		}
	}
}

// benchStreams measures the throughput of a target with a constant number of concurrent streams.
func (c *cluster) benchStreams(t *testing.T, to target, pid int) throughput {
	t.Helper()
	var requests, tokens atomic.Int64
	var streams sync.WaitGroup
	body := benchBody(benchTokens)
	startedAt, used := time.Now(), processorTime(t, pid)
	for range benchStreams {
		streams.Go(func() {
			for time.Since(startedAt) < benchTime {
				n, err := readTokens(to.address, body)
				if err != nil || n != benchTokens {
					t.Errorf("%s: got %d tokens, %v, want %d", to.name, n, err, benchTokens)
					return
				}
				requests.Add(1)
				tokens.Add(int64(n))
			}
		})
	}
	streams.Wait()
	elapsed := time.Since(startedAt).Seconds()
	return throughput{
		requests: float64(requests.Load()) / elapsed,
		tokens:   float64(tokens.Load()) / elapsed,
		cores:    (processorTime(t, pid) - used) / elapsed,
	}
}

// benchOpenStreams measures memory, throughput and processor use of an entry host with many open streams.
func (c *cluster) benchOpenStreams(t *testing.T, to target, pid int) {
	t.Helper()
	body := benchBody(openTokens)
	var tokens atomic.Int64
	stop := make(chan struct{})
	var streams sync.WaitGroup
	for range openStreams {
		streams.Go(func() { readUntilStopped(to.address, body, &tokens, stop) })
	}
	time.Sleep(openSettle)
	before, startedAt, used := tokens.Load(), time.Now(), processorTime(t, pid)
	time.Sleep(openSettle)
	elapsed := time.Since(startedAt).Seconds()
	rate, cores := float64(tokens.Load()-before)/elapsed, (processorTime(t, pid)-used)/elapsed
	fmt.Printf("bench: entry host with %d open streams: %.0f MB resident, %.0f tokens a second, %.2f cores\n",
		openStreams, residentMB(t, pid), rate, cores)
	close(stop)
	streams.Wait()
}

var tokenIndexKey = []byte(`"token_index"`)

// readUntilStopped reads a stream and counts its tokens until it ends or stop is closed.
func readUntilStopped(address, body string, tokens *atomic.Int64, stop <-chan struct{}) {
	response, err := post(address, "/v1/chat/completions", body, "")
	if err != nil {
		return
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if bytes.Contains(lines.Bytes(), tokenIndexKey) {
			tokens.Add(1)
		}
		select {
		case <-stop:
			return
		default:
		}
	}
}

// readTokens returns the number of tokens of a stream. It returns an error if the stream ends without [DONE].
func readTokens(address, body string) (int, error) {
	response, err := post(address, "/v1/chat/completions", body, "")
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	all, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	if !bytes.Contains(all, []byte("[DONE]")) {
		return 0, fmt.Errorf("got no [DONE], status %d: %.200s", response.StatusCode, all)
	}
	// The chunk with the finish_reason also has a token index.
	return bytes.Count(all, tokenIndexKey) - 1, nil
}

// residentMB returns the resident memory of a process in MB.
func residentMB(t *testing.T, pid int) float64 {
	t.Helper()
	body, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(body), "VmRSS:")
	kilobytes, err := strconv.ParseFloat(strings.Fields(after)[0], 64)
	if err != nil {
		t.Fatal(err)
	}
	return kilobytes * 1024 / 1e6
}

// processorTime returns the processor time of a process in seconds.
func processorTime(t *testing.T, pid int) float64 {
	t.Helper()
	body, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(body), ") ")
	fields := strings.Fields(after)
	user, err1 := strconv.ParseFloat(fields[11], 64)
	system, err2 := strconv.ParseFloat(fields[12], 64)
	if err1 != nil || err2 != nil {
		t.Fatal(err1, err2)
	}
	return (user + system) / ticksPerSecond
}
