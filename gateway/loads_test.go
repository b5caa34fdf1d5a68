package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"citronspread/attempt"
	"citronspread/load"
	"citronspread/model"
	"citronspread/ownership"
	"citronspread/peer"
	"citronspread/residency"
	"citronspread/routing"
)

// loadRecordBytes is the size of a peer.LoadRecord with all parts.
const loadRecordBytes = 45

// loadCalls counts the calls that hosts of the test fleets make about loads.
type loadCalls struct{ usages, reserves atomic.Int64 }

func (p fleetPeers) ReportPlatformUsage(ctx context.Context, address string, request *peer.UsageRequest) (*peer.UsageReply, error) {
	sleep(ctx, time.Millisecond)
	p.fleet.loadCalls.usages.Add(1)
	to := p.fleet.host(address)
	if to.silent.Load() || p.host.silent.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return (&platformHandler{host: to.Host}).ReportPlatformUsage(ctx, request)
}

func (p fleetPeers) Reserve(ctx context.Context, address string, request *peer.ReserveRequest) (*peer.ReserveReply, error) {
	sleep(ctx, time.Millisecond)
	p.fleet.loadCalls.reserves.Add(1)
	to := p.fleet.host(address)
	if to.silent.Load() || p.host.silent.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return (&platformHandler{host: to.Host}).Reserve(ctx, request)
}

// noBackends is a control interface at which no backend server responds.
type noBackends struct{}

func (noBackends) ReadReport(context.Context, string, model.BackendIncarnation) (model.BackendReport, error) {
	return model.BackendReport{}, errors.New("no backend server")
}

func (noBackends) SendOrder(context.Context, string, model.BackendIncarnation, residency.Order) (residency.Answer, error) {
	return residency.Unsent, errors.New("no backend server")
}

const loadHosts = 60

// newLoadFleet returns a fleet whose hosts route requests for one model to backend servers with 16 slots, each owned by the
// host of its number.
func newLoadFleet(t *testing.T, backends, cacheTokens int) *testFleet {
	f := newTestFleet(t, loadHosts, 8*time.Second)
	spec := &model.EngineSpec{Slots: 16, CacheTokens: cacheTokens}
	routed := &model.RoutedModel{Declaration: model.ModelDeclaration{Key: modelKey("llm", "m")}, Service: "llm"}
	for i := range backends {
		routed.Replicas = append(routed.Replicas, model.Replica{
			Key: routed.Declaration.Key, Backend: backendID(i), Address: "a", Service: "llm", Capacity: 16, CacheTokens: cacheTokens, UpdatedAt: f.hosts["host-0"].Now(),
		})
	}
	for _, h := range f.hosts {
		h.BackendClient = noBackends{}
		if _, err := query(t.Context(), h.Host, func(now time.Time) bool {
			for i := range backends {
				id, owner := backendID(i), fmt.Sprintf("host-%d", i)
				h.view.applyListing(now, model.BackendListing{Life: model.BackendIncarnation{ID: id}, Service: "llm", Slots: 16, Zone: f.hosts[owner].Zone})
				h.table.Owners[id] = ownership.Owner{Record: ownership.OwnerRecord{Host: owner}, Revision: 1}
				if h.Name == owner {
					h.owned[id] = &ownedBackend{account: residency.NewAccount(now, id, model.BackendIncarnation{ID: id}, spec)}
				}
			}
			return true
		}); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(2 * time.Second) // until the owners know what is on their backend servers
	for _, h := range f.hosts {
		h.snapshot.Store(&model.Snapshot{Complete: true, Zone: h.Zone, Routers: loadHosts / fleetZones, Hosts: loadHosts, Models: []*model.RoutedModel{routed}})
	}
	return f
}

func backendID(i int) string { return fmt.Sprint("i-", i) }

// acquire sends a request of a host and returns the grant, which its caller ends.
func (f *testFleet) acquire(host, tokens int) (*Grant, error) {
	h := f.hosts[fmt.Sprintf("host-%d", host)]
	return h.Dispatcher.Acquire(context.Background(), RoutedRequest{
		ID: fmt.Sprint("request of ", host), Service: "llm", Model: "m", Tokens: tokens, Route: model.Route{Kind: model.RouteIdempotent},
		ArrivedAt: h.Now(), Deadline: h.Now().Add(time.Minute), Fingerprint: model.Fingerprint(time.Now().UnixNano()) + model.Fingerprint(host),
	}, &attempt.Progress{})
}

// TestLoadsReachAllHosts guards against hosts that do not know the load of backend servers to which they have sent nothing, and
// against messages of their own for it.
func TestLoadsReachAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLoadFleet(t, 2, 0)
		for _, h := range f.hosts { // two requests of each host
			for range 2 {
				if _, err := f.acquire(hostNumber(h.Name), 100); err != nil {
					t.Fatal(err)
				}
			}
		}
		stating := f.hosts[fmt.Sprintf("host-%d", loadHosts-1)]
		stating.Dispatcher.RecordLoad(stating.Now(), "i-0", routing.LoadStatement{Load: model.StatedLoad{Running: 16, Waiting: 3, Slots: 16, Slowness: 300}, Stated: true, Full: true})
		time.Sleep(2 * usageInterval)
		f.loadCalls.usages.Store(0)
		time.Sleep(4 * time.Second)
		for _, h := range f.hosts {
			total := 0
			for i := range 2 {
				l, _ := h.router.Load(backendID(i))
				total += l.Held.Requests
				if age := h.Now().Sub(l.Held.At); l.Held.At.IsZero() || age > 3*time.Second || age < 0 {
					t.Errorf("%s: got the sum of %s of %v ago, want one of the last 3 s", h.Name, backendID(i), age)
				}
			}
			if total != 2*loadHosts {
				t.Errorf("%s: got %d requests, want %d", h.Name, total, 2*loadHosts)
			}
			l, _ := h.router.Load("i-0")
			if l.Stated.Waiting != 3 || l.Stated.Slowness != 300 || l.FullAt.IsZero() {
				t.Errorf("%s: got %+v, want what the backend server has stated to another host", h.Name, l)
			}
		}
		// Each host reports to the owners of at most two backend servers every half second, as before.
		if got, limit := f.loadCalls.usages.Load(), int64(loadHosts*2*9); got > limit {
			t.Errorf("got %d reports in 4 s, want at most %d", got, limit)
		}
		owner := f.hosts["host-0"]
		got, err := query(t.Context(), owner.Host, func(now time.Time) BackendLoad {
			l, _ := owner.BackendLoad(now, "i-0")
			return l
		})
		if err != nil || got.Running != 16 || got.Running+got.Waiting < loadHosts/2 || got.Slots != 16 || got.Slowness != 3 || got.Age > time.Second {
			t.Errorf("got %+v, %v at the owner, want the sum of the reports of the last second", got, err)
		}
	})
}

func hostNumber(name string) (n int) {
	_, _ = fmt.Sscanf(name, "host-%d", &n)
	return n
}

// TestPlacesAreNotOvercommitted guards against hosts that all send at the same moment and together put more tokens on a backend
// server than its memory holds.
func TestPlacesAreNotOvercommitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const memory, tokens = 30_000, 1_800
		f := newLoadFleet(t, 1, memory)
		var granted atomic.Int64
		var requests sync.WaitGroup
		for _, h := range f.hosts {
			requests.Go(func() {
				grant, err := f.acquire(hostNumber(h.Name), tokens)
				if err != nil {
					return
				}
				granted.Add(1)
				time.Sleep(20 * time.Second)
				grant.Done(h.Now(), routing.OutcomeComplete)
			})
		}
		time.Sleep(5 * time.Second)
		if got, limit := int(granted.Load()), memory/tokens; got > limit || got < limit/2 {
			t.Errorf("got %d requests of %d tokens on a backend server that holds %d, want %d to %d", got, tokens, memory, limit/2, limit)
		}
		requests.Wait()
	})
}

// TestOwnerDoesNotReply guards against requests that each wait for an owner that does not reply, and against those that are
// never sent while there is none.
func TestOwnerDoesNotReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLoadFleet(t, 1, 60_000)
		f.hosts["host-0"].silent.Store(true)
		started := time.Now()
		for range 10 {
			grant, err := f.acquire(7, 1_800)
			if err != nil {
				t.Fatal(err)
			}
			grant.Done(f.hosts["host-7"].Now(), routing.OutcomeComplete)
		}
		if got := time.Since(started); got < reserveTimeout || got > 2*reserveTimeout {
			t.Errorf("got ten requests after %v, want one wait of %v", got, reserveTimeout)
		}
		f.hosts["host-0"].silent.Store(false)
		time.Sleep(2 * ownerPause)
		before := f.loadCalls.reserves.Load()
		if _, err := f.acquire(7, 1_800); err != nil || f.loadCalls.reserves.Load() == before {
			t.Errorf("got %v and no request for a place, want the owner to be asked again", err)
		}
	})
}

// TestNewOwnerKnowsNothing guards against an owner that gives places before the reports of the hosts have told it what is on the
// backend server.
func TestNewOwnerKnowsNothing(t *testing.T) {
	b := newLoadBook()
	b.own(start, map[string]load.Room{"a": {Requests: 20}})
	if _, known, _, _ := b.reserve(start.Add(usageInterval), "a", load.Place{Host: "x"}, load.Prompt{}); known {
		t.Error("got a reply of a new owner, want it not to know")
	}
	if _, known, placed, _ := b.reserve(start.Add(2*usageInterval), "a", load.Place{Host: "x"}, load.Prompt{}); !known || !placed {
		t.Errorf("got known %v, placed %v after the hosts have reported, want a place", known, placed)
	}
	b.own(start.Add(3*usageInterval), nil)
	if _, known, _, _ := b.reserve(start.Add(3*usageInterval), "a", load.Place{Host: "x"}, load.Prompt{}); known {
		t.Error("got a reply of a host that is not the owner any more")
	}
	b.own(start.Add(4*usageInterval), map[string]load.Room{"a": {Requests: 20}})
	if _, known, _, _ := b.reserve(start.Add(4*usageInterval), "a", load.Place{Host: "x"}, load.Prompt{}); known {
		t.Error("got a reply of a host that has just become the owner again")
	}
}

// TestTooLargeRequestIsRefused guards against a request that crashes a backend server because its tokens exceed the memory.
func TestTooLargeRequestIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLoadFleet(t, 1, 10_000)
		h := f.hosts["host-3"]
		table := *h.routes.Load()
		table.state.Services = map[string]model.ServiceSpec{"llm": {Engine: &model.EngineSpec{CacheTokens: 10_000}}}
		h.routes.Store(&table)
		var refused *routing.RefusedError
		if _, err := f.acquire(3, 10_001); !errors.As(err, &refused) || refused.Reason != routing.ReasonMemory {
			t.Errorf("got %v, want a refusal because of the memory", err)
		}
		if _, err := f.acquire(3, 9_000); err != nil {
			t.Errorf("got %v for a request that fits, want it granted", err)
		}
	})
}

// TestGrantedLineNamesLoad guards against a choice that can't be understood from the log.
func TestGrantedLineNamesLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLoadFleet(t, 1, 0)
		h := f.hosts["host-3"]
		core, logs := observer.New(zapcore.InfoLevel)
		h.Log = zap.New(core)
		h.router.RecordLoad(h.Now(), "i-0", routing.LoadStatement{Load: model.StatedLoad{Running: 5, Slots: 16}, Stated: true})
		time.Sleep(200 * time.Millisecond)
		if _, err := f.acquire(3, 100); err != nil {
			t.Fatal(err)
		}
		entries := logs.FilterMessage("granted").All()
		if len(entries) != 1 {
			t.Fatalf("got %d lines, want 1", len(entries))
		}
		fields := entries[0].ContextMap()
		want := map[string]any{"Own": int64(0), "Others": 5.0, "LoadKnown": true, "LoadAge": 200 * time.Millisecond, "Place": false}
		for name, value := range want {
			if fields[name] != value {
				t.Errorf("got %s %v, want %v", name, fields[name], value)
			}
		}
	})
}

// TestReportsOfRestartedServer guards against the requests of a crashed backend server that count as those of its successor with
// the same ID.
func TestReportsOfRestartedServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLoadFleet(t, 1, 0)
		owner := f.hosts["host-0"]
		owner.receiveUsage(owner.Now(), &peer.UsageRequest{From: "host-9", Usages: []model.Usage{{Backend: "i-0", Requests: 12, Running: 12}}})
		if l, _ := owner.router.Load("i-0"); l.Held.Requests != 12 {
			t.Fatalf("got %+v, want 12 requests", l)
		}
		if _, err := query(t.Context(), owner.Host, func(now time.Time) bool {
			owner.forgetBackend(now, "i-0")
			return true
		}); err != nil {
			t.Fatal(err)
		}
		if l, found := owner.router.Load("i-0"); found {
			t.Errorf("got %+v after a restart, want nothing known", l)
		}
		reply := owner.receiveUsage(owner.Now(), &peer.UsageRequest{From: "host-8", Usages: []model.Usage{{Backend: "i-0", Requests: 1, Running: 1}}})
		i := slices.IndexFunc(reply, func(r peer.LoadRecord) bool { return r.Backend == "i-0" })
		if i < 0 || reply[i].Held[1] != 1 {
			t.Errorf("got %+v, want the one request after the restart", reply)
		}
	})
}

// TestRelayOfLargeFleetSendsFewLoads guards against a relay whose link is filled by the loads of thousands of backend servers, so that
// changes of the desired state reach its followers too late.
func TestRelayOfLargeFleetSendsFewLoads(t *testing.T) {
	tests := []struct {
		hosts, backends int
		all             bool
	}{{26, 90, true}, {59, 256, true}, {100, 3000, false}, {400, 760, false}}
	for _, tt := range tests {
		var loads []model.BackendLoad
		for i := range tt.backends {
			loads = append(loads, model.BackendLoad{Backend: fmt.Sprint("i-", i), Held: model.HeldLoad{Requests: 1, At: time.Unix(int64(i), 0)}})
		}
		got := newestLoads(loads, relayedLoads(tt.hosts))
		if (len(got) == tt.backends) != tt.all || len(got) == 0 {
			t.Errorf("%d hosts: got %d of %d loads, want all of them: %v", tt.hosts, len(got), tt.backends, tt.all)
		}
		if !tt.all && got[0].Held.At != time.Unix(int64(tt.backends-1), 0) {
			t.Errorf("%d hosts: got a load of %v first, want the newest", tt.hosts, got[0].Held.At)
		}
	}
}
