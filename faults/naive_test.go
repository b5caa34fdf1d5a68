package faults

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"citronspread/engine"
	"citronspread/hostlist"
	"citronspread/model"
	"citronspread/record"
	"citronspread/settings"
	"citronspread/store"

	"github.com/google/uuid"
)

// naiveHost is an entry host without the system's guarantees, which the checks must detect: it loads models without a
// reservation, retries every failed request, uses the store's records without validation and stops without draining.
type naiveHost struct {
	settings settings.Settings
	cancel   context.CancelFunc
	servers  []*http.Server

	mu      sync.Mutex
	frozen  sync.RWMutex
	hosts   []model.Host
	records []model.ModelDeclaration
}

// naiveProcesses implements Processes with naive entry hosts that run in the test's own process.
type naiveProcesses struct {
	mu      sync.Mutex
	running map[string]*naiveHost
}

func (p *naiveProcesses) get(name string) *naiveHost {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running[name]
}

func (p *naiveProcesses) Start(name, settingsFile string) error {
	s, err := settings.Load(settingsFile)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &naiveHost{settings: s, cancel: cancel}
	calls := http.NewServeMux()
	calls.HandleFunc("POST /v1/chat/completions", h.chat)
	calls.HandleFunc("/services/order-desk/", h.book)
	operators := http.NewServeMux()
	operators.HandleFunc("/readyz", func(http.ResponseWriter, *http.Request) {})
	operators.HandleFunc("/debug/state", h.dump)
	for address, handler := range map[string]http.Handler{s.CallerAddress: calls, s.OperatorAddress: operators} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			cancel()
			return err
		}
		server := &http.Server{Handler: handler}
		h.servers = append(h.servers, server)
		go func() { _ = server.Serve(listener) }()
	}
	go h.refresh(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[name] = h
	return nil
}

func (p *naiveProcesses) Kill(name string) error {
	h := p.get(name)
	h.cancel()
	for _, server := range h.servers {
		server.Close()
	}
	return nil
}

func (p *naiveProcesses) Terminate(_ context.Context, name string) (int, error) {
	return 0, p.Kill(name)
}

func (p *naiveProcesses) Pause(name string) error {
	p.get(name).frozen.Lock()
	return nil
}

func (p *naiveProcesses) Resume(name string) error {
	p.get(name).frozen.Unlock()
	return nil
}

// refresh polls the host list and the store's records and uses them without validation. It takes the records from its
// first or its latest read, like a host that reads from replicas of a store, one of which has fallen behind.
func (h *naiveHost) refresh(ctx context.Context) {
	list := &hostlist.Client{Address: h.settings.HostListAddress}
	config := &store.Client{Address: h.settings.StoreAddress}
	var first store.Listing
	for ctx.Err() == nil {
		h.frozen.RLock()
		hosts, hostsErr := list.Hosts(ctx, 0, 0)
		latest, configErr := config.List(ctx, configPrefix)
		entries := latest
		if rand.IntN(2) == 0 && len(first.Entries) > 0 {
			entries = first
		}
		if len(first.Entries) == 0 {
			first = latest
		}
		h.mu.Lock()
		if hostsErr == nil {
			h.hosts = hosts.Hosts
		}
		if configErr == nil {
			h.records = nil
		}
		for _, entry := range entries.Entries {
			var r model.Record
			if json.Unmarshal(entry.Value, &r) == nil {
				d, _ := record.Decode(r)
				h.records = append(h.records, d.Models...)
			}
		}
		h.mu.Unlock()
		h.frozen.RUnlock()
		sleep(ctx, probeInterval)
	}
}

func (h *naiveHost) dump(w http.ResponseWriter, _ *http.Request) {
	h.frozen.RLock()
	defer h.frozen.RUnlock()
	d := dump{ControlThread: "answered"}
	h.mu.Lock()
	for _, declaration := range h.records {
		d.Snapshot.Snapshot.Models = append(d.Snapshot.Snapshot.Models, &model.RoutedModel{Declaration: declaration})
	}
	h.mu.Unlock()
	_ = json.NewEncoder(w).Encode(d)
}

func (h *naiveHost) pick(kind model.HostKind) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var addresses []string
	for _, host := range h.hosts {
		if host.Kind == kind {
			addresses = append(addresses, host.Address)
		}
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[rand.IntN(len(addresses))]
}

// load loads a model on a backend server regardless of what other hosts load there. If the load fails it unloads a random
// model and retries.
func (h *naiveHost) load(ctx context.Context, address, name string) {
	key := model.ModelKey{Model: strings.Split(name, "@")[0], Version: "v1"}
	control := engine.Control{Address: address}
	order := model.Order{ID: uuid.NewString(), Kind: model.OrderLoad, Key: key, Bytes: modelMemoryMB * 1_000_000}
	if response, _ := control.SendOrder(ctx, order); response.Outcome != engine.OutcomeFailed {
		return
	}
	if o, err := control.Observe(ctx); err == nil && len(o.Models) > 0 {
		evicted := o.Models[rand.IntN(len(o.Models))].Key
		_, _ = control.SendOrder(ctx, model.Order{ID: uuid.NewString(), Kind: model.OrderUnload, Key: evicted})
	}
	order.ID = uuid.NewString()
	_, _ = control.SendOrder(ctx, order)
}

// chat retries every failed request and returns "not run" when all attempts failed, although some may have run.
func (h *naiveHost) chat(w http.ResponseWriter, r *http.Request) {
	h.frozen.RLock()
	defer h.frozen.RUnlock()
	var body chatRequest
	_ = json.NewDecoder(r.Body).Decode(&body)
	body.Stream = true
	for range 3 {
		address := h.pick(model.KindBackend)
		for range 2 {
			if a := postJSON(r.Context(), "http://"+address+"/v1/chat/completions", body, ""); a.status == http.StatusOK && a.err == nil {
				_, _ = w.Write(a.body)
				return
			}
			h.load(r.Context(), address, body.Model)
		}
	}
	w.Header().Set(runHeader, notRun)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// book retries a failed booking, although it may have run, and returns "not run" when both attempts failed.
func (h *naiveHost) book(w http.ResponseWriter, r *http.Request) {
	h.frozen.RLock()
	defer h.frozen.RUnlock()
	payload, _ := io.ReadAll(r.Body)
	for range 2 {
		url := "http://" + h.pick(model.KindService) + strings.TrimPrefix(r.URL.Path, "/services/order-desk")
		req, _ := http.NewRequest(r.Method, url, strings.NewReader(string(payload)))
		if a := send(r.Context(), req); a.status == http.StatusOK {
			_, _ = w.Write(a.body)
			return
		}
	}
	w.Header().Set(runHeader, notRun)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// TestNaiveHostIsCaught guards against checks that detect nothing in a complete run: naive hosts must breach nearly every
// guarantee. The result depends on the machine's scheduling, so CI runs the unit tests of the checks instead.
func TestNaiveHostIsCaught(t *testing.T) {
	if !*naive {
		t.Skip("-faults-naive is not set: use make faults-naive")
	}
	p := &naiveProcesses{running: map[string]*naiveHost{}}
	run := &Run{
		Seed: 1, WarmUp: time.Second, CoolDown: time.Second, RecoveryTimeout: time.Second, ConfigInterval: 4 * time.Second,
		SettingsDirectory: filepath.Join(t.TempDir(), "settings"), Processes: p, Log: t.Logf,
		schedule: []fault{
			{kind: faultEngineLeaves, duration: 14 * time.Second},
			{kind: faultService, target: 0, duration: 8 * time.Second, amount: 40},
			{kind: faultService, target: 1, duration: 8 * time.Second, amount: 40},
			{kind: faultService, target: 2, duration: 8 * time.Second, amount: 40},
			{kind: faultEngineResponses, target: 1, duration: 8 * time.Second, amount: 40},
			{kind: faultTerminateHost, target: 0, at: time.Second, duration: time.Second},
			{kind: faultTerminateHost, target: 1, at: 2 * time.Second, duration: time.Second},
			{kind: faultTerminateHost, target: 2, at: 3 * time.Second, duration: time.Second},
			{kind: faultCrashText, at: 2 * time.Second, duration: 13 * time.Second},
		},
	}
	tally, err := run.Execute(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, h := range p.running {
		h.cancel()
	}
	got := breaches(tally)
	for want := range guaranteeCount {
		if want != ServedOrRefusedInTime && want != ServedAfterFaults && want != InvariantsHold && !slices.Contains(got, want) {
			t.Errorf("got breaches %v, want one of %q", got, guaranteeNames[want])
		}
	}
	t.Log(strings.Join(tally.Report(), "\n"))
}
