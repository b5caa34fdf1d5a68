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

var binary = flag.String("path-binary", "", "the built binary; without it the check is not run")

var checkName = flag.String("check-name", "path-check", "the name in the last line")

const version1 = `SchemaVersion: 1
Name: scribe
Service: link-scribe
Model: scribe-7b
Version: v1
MemoryMB: 8000
Replicas: 2
Priority: Normal
Adapters: [plating]
`

const version2 = `SchemaVersion: 2
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
	scribe = question{model: "scribe-7b", key: "scribe-7b@v1", prompt: "a silver charm", tokens: 20}
	guide  = question{model: "guide-3b@v2", key: "guide-3b@v2", prompt: "a link", tokens: 40}
	plated = question{model: "scribe-7b", key: "scribe-7b@v1", adapter: "plating", prompt: "a gold charm", tokens: 20}
	long   = question{model: "guide-3b", key: "guide-3b@v2", prompt: "a long reply", tokens: 150}
	last   = question{model: "scribe-7b", key: "scribe-7b@v1", prompt: "the last charm", tokens: 10}
)

// decided are the decided numbers of replicas.
var decided = map[string]int{scribe.key: 2, guide.key: 2}

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

func TestPathCheck(t *testing.T) {
	if *binary == "" {
		t.Skip("run by make path-check")
	}
	began := time.Now()
	step := func(format string, args ...any) {
		fmt.Printf("path-check: %5.1fs %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}
	c := startPlatform(t)
	step("store, host list, %d engines and a service are up", len(c.engines))
	c.putRecords(t)
	step("put a version-1 and a version-2 record; a racing put lost with exit code 3")
	c.startEntries(t)
	step("%d entry hosts in %d zones are ready", len(c.entries), len(zones))
	step("cold start: whole answer after %s", timed(func() { ask(t, c.entries[0].caller, scribe) }))
	step("streamed cold start: whole answer after %s", timed(func() { c.stream(t, 3, guide) }))
	step("adapter: whole answer after %s", timed(func() { ask(t, c.entries[5].caller, plated) }))
	c.book(t)
	step("booking sent twice with one key at two entry hosts ran once")
	c.dump(t)
	step("dump answered")
	c.kill(t)
	step("killed %s; the others answer whole", c.entries[1].name)
	c.stop(t)
	step("stopped %s during a stream; the stream was whole", c.entries[4].name)
	c.checkCounts(t)
	step("no engine overcommitted memory, no more replicas than decided")
}

func timed(f func()) time.Duration {
	began := time.Now()
	f()
	return time.Since(began).Round(time.Millisecond)
}

func (c *cluster) putRecords(t *testing.T) {
	t.Helper()
	first := writeFile(t, "scribe.yaml", version1)
	second := writeFile(t, "guides.yaml", version2)
	for _, file := range []string{first, second} {
		if out, code := runCommand(t, "record", "put", file, "--store", c.store, "--revision", "0"); code != 0 {
			t.Fatalf("got exit code %d: %s", code, out)
		}
	}
	out, code := runCommand(t, "record", "put", first, "--store", c.store, "--revision", "0")
	if code != 3 || !strings.Contains(out, "revision 1") {
		t.Fatalf("got exit code %d, want 3 and the winner's revision: %s", code, out)
	}
}

func (c *cluster) stream(t *testing.T, entry int, q question) {
	t.Helper()
	if err := askStream(c.entries[entry].caller, q, nil); err != nil {
		t.Fatal(err)
	}
}

func (c *cluster) book(t *testing.T) {
	t.Helper()
	for _, e := range []*entryHost{c.entries[0], c.entries[2]} {
		response, err := post(e.caller, "/services/"+plainService+"/bookings", `{"Item":"plating"}`, "booking-1")
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("got status %d, %v: %s", response.StatusCode, err, body)
		}
	}
	var got standin.ServiceCounts
	getJSON(t, c.service, "/counts", &got)
	if len(got.Bookings) != 1 || got.Bookings[0].Runs != 1 {
		t.Fatalf("got %+v, want one booking that ran once", got)
	}
}

func (c *cluster) dump(t *testing.T) {
	t.Helper()
	out, code := runCommand(t, "dump", "--address", c.entries[0].operator)
	if code != 0 || !strings.Contains(out, `"ControlThread": "answered"`) {
		t.Fatalf("got exit code %d: %s", code, out)
	}
}

func (c *cluster) kill(t *testing.T) {
	t.Helper()
	c.entries[1].process.signal(t, syscall.SIGKILL)
	c.entries[1].process.wait(t)
	for i, e := range c.entries {
		if i != 1 {
			ask(t, e.caller, question{model: scribe.model, key: scribe.key, prompt: e.name, tokens: 10})
		}
	}
}

func (c *cluster) stop(t *testing.T) {
	t.Helper()
	e := c.entries[4]
	started := make(chan struct{})
	result := make(chan error, 1)
	go func() { result <- askStream(e.caller, long, started) }()
	select {
	case <-started:
	case err := <-result:
		t.Fatalf("got %v before the first token", err)
	}
	e.process.signal(t, syscall.SIGTERM)
	if err := <-result; err != nil {
		t.Fatal(err)
	}
	if code := e.process.wait(t); code != 0 {
		t.Fatalf("got exit code %d after SIGTERM", code)
	}
	ask(t, c.entries[5].caller, last)
}

func (c *cluster) checkCounts(t *testing.T) {
	t.Helper()
	for _, address := range c.engines {
		var got standin.EngineCounts
		getJSON(t, address, "/counts", &got)
		if got.MemoryOvercommitted != 0 || got.RepeatedOrders != 0 || got.CutRequests != 0 {
			t.Errorf("got %+v", got)
		}
	}
	var counts []standin.ReplicaCount
	getJSON(t, c.census, "/census", &counts)
	for _, count := range counts {
		if count.Peak > decided[count.Key.String()] {
			t.Errorf("got %d replicas of %s, want at most %d", count.Peak, count.Key, decided[count.Key.String()])
		}
	}
}
