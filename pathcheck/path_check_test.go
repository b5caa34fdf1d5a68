package pathcheck

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"citronspread/standin"
)

var binary = flag.String("path-binary", "", "path of the built program; the tests are skipped if empty")

var checkName = flag.String("check-name", "path-check", "name of the check in the last line of the output")

const recordVersion1 = `SchemaVersion: 1
Name: scribe
Service: link-scribe
Model: scribe-7b
Version: v1
MemoryMB: 8000
Replicas: 2
Priority: Normal
Adapters: [plating]
`

const recordVersion2 = `SchemaVersion: 2
Name: guides
Service: link-scribe
Models:
  - Model: guide-3b
    Version: v2
    Memory: 4GB
    Priority: 80
    Replicas: {Decided: 2, Warm: 0}
`

var (
	scribe         = chatRequest{model: "scribe-7b", key: "scribe-7b@v1", prompt: "a silver charm", tokens: 20}
	guide          = chatRequest{model: "guide-3b@v2", key: "guide-3b@v2", prompt: "a link", tokens: 40}
	adapterRequest = chatRequest{model: "scribe-7b", key: "scribe-7b@v1", adapter: "plating", prompt: "a gold charm", tokens: 20}
	longRequest    = chatRequest{model: "guide-3b", key: "guide-3b@v2", prompt: "a long reply", tokens: 150}
	afterStop      = chatRequest{model: "scribe-7b", key: "scribe-7b@v1", prompt: "the last charm", tokens: 10}
)

// decidedReplicas maps each model key to its decided number of replicas.
var decidedReplicas = map[string]int{scribe.key: 2, guide.key: 2}

func TestMain(m *testing.M) {
	flag.Parse()
	code := m.Run()
	switch {
	case *binary == "":
		fmt.Println("not run, -path-binary is missing")
	case code == 0:
		fmt.Println(*checkName + ": passed")
	default:
		fmt.Println(*checkName + ": failed")
	}
	os.Exit(code)
}

// TestPathCheck guards against faults that only show between separate processes: records, cold starts, streams, adapters,
// bookings, a killed entry host and a graceful shutdown during a stream.
func TestPathCheck(t *testing.T) {
	if *binary == "" {
		t.Skip("-path-binary is not set: use make path-check")
	}
	startedAt := time.Now()
	step := func(format string, args ...any) {
		fmt.Printf("path-check: %5.1fs %s\n", time.Since(startedAt).Seconds(), fmt.Sprintf(format, args...))
	}
	c := startPlatform(t)
	step("store, host list, %d engines and a service are running", len(c.engines))
	c.putRecords(t)
	step("put a version-1 and a version-2 record; a conflicting put failed with exit code 3")
	c.startEntries(t)
	step("%d entry hosts in %d zones are ready", len(c.entries), len(zones))
	step("cold start: complete response after %s", timed(func() { checkResponse(t, c.entries[0].caller, scribe) }))
	step("streamed cold start: complete response after %s", timed(func() { c.checkStream(t, 3, guide) }))
	step("adapter: complete response after %s", timed(func() { checkResponse(t, c.entries[5].caller, adapterRequest) }))
	c.checkBooking(t)
	step("booking sent twice with one key at two entry hosts ran once")
	c.checkDump(t)
	step("dump contains a response of the control thread")
	c.checkKill(t)
	step("killed %s; the others return complete responses", c.entries[1].name)
	c.checkStop(t)
	step("stopped %s during a stream; the stream was complete", c.entries[4].name)
	c.checkCounts(t)
	step("no engine overcommitted memory, no more replicas than decided")
}

// timed returns how long a function takes.
func timed(f func()) time.Duration {
	startedAt := time.Now()
	f()
	return time.Since(startedAt).Round(time.Millisecond)
}

// putRecords writes both records and checks that a put with an outdated revision fails.
func (c *cluster) putRecords(t *testing.T) {
	t.Helper()
	first := writeFile(t, "scribe.yaml", recordVersion1)
	second := writeFile(t, "guides.yaml", recordVersion2)
	for _, file := range []string{first, second} {
		if out, code := runCommand(t, "record", "put", file, "--store", c.store, "--revision", "0"); code != 0 {
			t.Fatalf("got exit code %d: %s", code, out)
		}
	}
	out, code := runCommand(t, "record", "put", first, "--store", c.store, "--revision", "0")
	if code != 3 || !strings.Contains(out, "revision 1") {
		t.Fatalf("got exit code %d, want 3 and the current revision 1: %s", code, out)
	}
}

// checkStream checks a streamed request at an entry host.
func (c *cluster) checkStream(t *testing.T, entry int, r chatRequest) {
	t.Helper()
	if err := checkStreamedResponse(c.entries[entry].caller, r, nil); err != nil {
		t.Fatal(err)
	}
}

// checkBooking checks that a booking sent to two entry hosts with the same key runs once.
func (c *cluster) checkBooking(t *testing.T) {
	t.Helper()
	for _, e := range []*entryHost{c.entries[0], c.entries[2]} {
		response, err := post(e.caller, "/services/"+plainService+"/bookings", `{"Item":"plating"}`, "booking-1")
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("%s: got status %d, %v, want 200: %s", e.name, response.StatusCode, err, body)
		}
	}
	var got standin.ServiceCounts
	getJSON(t, c.service, "/counts", &got)
	if len(got.Bookings) != 1 || got.Bookings[0].Runs != 1 {
		t.Fatalf("got %+v, want one booking that ran once", got)
	}
}

// checkDump checks that an entry host returns a dump with a response of its control thread.
func (c *cluster) checkDump(t *testing.T) {
	t.Helper()
	out, code := runCommand(t, "dump", "--address", c.entries[0].operator)
	if code != 0 || !strings.Contains(out, `"ControlThread": "answered"`) {
		t.Fatalf("got exit code %d: %s", code, out)
	}
}

// checkKill kills an entry host and checks that the others still return complete responses.
func (c *cluster) checkKill(t *testing.T) {
	t.Helper()
	c.entries[1].process.signal(t, syscall.SIGKILL)
	c.entries[1].process.wait(t)
	for i, e := range c.entries {
		if i != 1 {
			checkResponse(t, e.caller, chatRequest{model: scribe.model, key: scribe.key, prompt: e.name, tokens: 10})
		}
	}
}

// checkStop terminates an entry host during a stream, and checks that the stream completes, that the exit code is 0 and
// that another host of the zone responds.
func (c *cluster) checkStop(t *testing.T) {
	t.Helper()
	e := c.entries[4]
	started := make(chan struct{})
	result := make(chan error, 1)
	go func() { result <- checkStreamedResponse(e.caller, longRequest, started) }()
	select {
	case <-started:
	case err := <-result:
		t.Fatalf("got %v before the first token, want a stream", err)
	}
	e.process.signal(t, syscall.SIGTERM)
	if err := <-result; err != nil {
		t.Fatal(err)
	}
	if code := e.process.wait(t); code != 0 {
		t.Fatalf("got exit code %d after SIGTERM, want 0", code)
	}
	checkResponse(t, c.entries[5].caller, afterStop)
}

// checkCounts checks the counters of the engines and the peak numbers of replicas.
func (c *cluster) checkCounts(t *testing.T) {
	t.Helper()
	for _, address := range c.engines {
		var got standin.EngineCounts
		getJSON(t, address, "/counts", &got)
		if got.MemoryOvercommitted != 0 || got.RepeatedOrders != 0 || got.CutRequests != 0 {
			t.Errorf("%s: got %+v, want no overcommitted memory, repeated orders or interrupted requests", address, got)
		}
	}
	var counts []standin.ReplicaCount
	getJSON(t, c.counter, "/census", &counts)
	for _, count := range counts {
		if count.Peak > decidedReplicas[count.Key.String()] {
			t.Errorf("got %d replicas of %s, want at most %d", count.Peak, count.Key, decidedReplicas[count.Key.String()])
		}
	}
}
