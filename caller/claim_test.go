package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"citronspread/httponce"
	"citronspread/model"
	"citronspread/service"
	"citronspread/store"
)

// fakeStore is a compare-and-swap store that loses writes and responses.
type fakeStore struct {
	mu            sync.Mutex
	entries       map[string]store.Entry
	revision      int64
	random        *rand.Rand
	lostResponses float64 // share of writes that take effect but whose response is lost
	lostWrites    float64 // share of writes that are lost before they take effect
	down          bool
}

func newFakeStore(seed uint64) *fakeStore {
	return &fakeStore{entries: make(map[string]store.Entry), random: rand.New(rand.NewPCG(seed, seed))}
}

func (f *fakeStore) Get(_ context.Context, key string) (store.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return store.Entry{}, &store.UnavailableError{Key: key}
	}
	entry, found := f.entries[key]
	if !found {
		return entry, &store.NotFoundError{Key: key}
	}
	return entry, nil
}

func (f *fakeStore) CompareAndSwap(_ context.Context, key string, value []byte, revision int64) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return 0, &store.UnavailableError{Key: key}
	}
	if f.random.Float64() < f.lostWrites {
		return 0, &store.UnavailableError{Key: key, Ambiguous: true}
	}
	if current := f.entries[key]; current.Revision != revision {
		return 0, &store.ConflictError{Key: key, Current: current}
	}
	f.revision++
	f.entries[key] = store.Entry{Key: key, Value: value, Revision: f.revision}
	if f.random.Float64() < f.lostResponses {
		return 0, &store.UnavailableError{Key: key, Ambiguous: true}
	}
	return f.revision, nil
}

// fakeLeases counts the grants and the writes under a lease. Once expired is set, writes under a lease do not find it.
type fakeLeases struct {
	*fakeStore
	granted, leased int
	expired         bool
}

func (f *fakeLeases) GrantLease(context.Context, time.Duration) (store.Lease, error) {
	f.granted++
	return store.Lease{ID: fmt.Sprint("lease-", f.granted)}, nil
}

func (f *fakeLeases) CompareAndSwapLeased(ctx context.Context, key string, value []byte, revision int64, lease string) (int64, error) {
	if f.expired {
		return 0, &store.NotFoundError{Key: lease}
	}
	f.leased++
	return f.CompareAndSwap(ctx, key, value, revision)
}

// TestClaimLeases verifies that claims share a lease, that a new lease follows after leaseReuse,
// and that a claim is still made after its lease has expired.
func TestClaimLeases(t *testing.T) {
	f := &fakeLeases{fakeStore: newFakeStore(1)}
	claims := &Claims{Store: f, Leases: f, StoreTimeout: time.Second}
	now := time.Now()
	for i, at := range []time.Time{now, now.Add(leaseReuse / 2), now.Add(leaseReuse)} {
		if _, err := claims.acquire(t.Context(), fmt.Sprint("claim/a/", i), "hash", at); err != nil {
			t.Fatal(err)
		}
	}
	if f.granted != 2 || f.leased != 3 {
		t.Errorf("got %d leases for %d claims, want 2 for 3", f.granted, f.leased)
	}
	f.expired = true
	if _, err := claims.acquire(t.Context(), "claim/a/lost", "hash", now.Add(leaseReuse)); err != nil {
		t.Errorf("got %v without the lease, want a claim", err)
	}
}

// bookingService is a plain service that counts the bookings for each request body.
type bookingService struct {
	abort bool // abort the connection after the booking

	mu       sync.Mutex
	bookings map[string]int
}

func (bs *bookingService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	bs.mu.Lock()
	if bs.bookings == nil {
		bs.bookings = make(map[string]int)
	}
	bs.bookings[string(body)]++
	bs.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	if bs.abort {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(w, "booked %s at %s", body, r.URL.RequestURI())
}

func (bs *bookingService) count(body string) int {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	return bs.bookings[body]
}

// newBookingEnvs returns entry hosts that share a store and route to the same hosts of the booking service.
func newBookingEnvs(t *testing.T, count int, s ClaimStore, addresses ...string) []*testEnv {
	t.Helper()
	var endpoints []model.ServiceEndpoint
	for _, address := range addresses {
		endpoints = append(endpoints, model.ServiceEndpoint{Service: "dispatch-app", Zone: "muenchen", Address: address})
	}
	var envs []*testEnv
	for range count {
		env := newTestEnv(t)
		env.publish(nil, endpoints)
		if s != nil {
			env.server.Claims = &Claims{Store: s, MaxWait: 2 * time.Second, StoreTimeout: time.Second}
			go env.server.Claims.Run(t.Context())
		}
		envs = append(envs, env)
	}
	return envs
}

const pathVan = "/services/dispatch-app/vans?day=1"

// TestSameKeyAtSeveralHosts sends each call to all entry hosts at once. With an idempotency key it must be
// booked at most once. Without keys some calls must be booked more than once; otherwise the test could not detect
// duplicates.
func TestSameKeyAtSeveralHosts(t *testing.T) {
	const hosts, keys = 4, 12
	for _, withoutKeys := range []bool{true, false} {
		t.Run(fmt.Sprintf("withoutKeys=%v", withoutKeys), func(t *testing.T) {
			bs := &bookingService{}
			s := newFakeStore(1)
			s.lostResponses, s.lostWrites = 0.3, 0.1
			envs := newBookingEnvs(t, hosts, s, listen(t, bs))
			var group sync.WaitGroup
			for i := range hosts * keys {
				group.Go(func() {
					key := fmt.Sprint("van-", i%keys)
					header := []string{headerIdempotencyKey, key}
					if withoutKeys {
						header = nil
					}
					got := envs[i/keys].post(t, pathVan, key, header...)
					if !withoutKeys && got.status == http.StatusOK && got.body != "booked "+key+" at /vans?day=1" {
						t.Errorf("got %d %s, want the response to the same booking", got.status, got.body)
					}
				})
			}
			group.Wait()
			duplicates := 0
			for i := range keys {
				if bs.count(fmt.Sprint("van-", i)) > 1 {
					duplicates++
				}
			}
			if got := duplicates > 0; got != withoutKeys {
				t.Errorf("got %d keys booked more than once, want none with keys and some without", duplicates)
			}
		})
	}
}

func TestClaims(t *testing.T) {
	tests := []struct {
		name        string
		abort, down bool
		unreachable bool
		repeat      string // body of the repeat
		first       int
		firstRun    string
		second      int
		secondRun   string
		bookings    int
	}{
		{name: "repeat is answered from the claim", repeat: "van", first: http.StatusOK, second: http.StatusOK, bookings: 1},
		{name: "other body with the same key", repeat: "bus", first: http.StatusOK, second: http.StatusUnprocessableEntity, secondRun: runStatusNotRun, bookings: 1},
		{name: "response lost", abort: true, repeat: "van", first: http.StatusBadGateway, firstRun: runStatusMaybeRun, second: http.StatusConflict, secondRun: runStatusMaybeRun, bookings: 1},
		{name: "store unavailable", down: true, repeat: "van", first: http.StatusServiceUnavailable, firstRun: runStatusNotRun, second: http.StatusServiceUnavailable, secondRun: runStatusNotRun},
		{name: "service unreachable", unreachable: true, repeat: "van", first: http.StatusServiceUnavailable, firstRun: runStatusNotRun, second: http.StatusServiceUnavailable, secondRun: runStatusNotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			bs := &bookingService{abort: tt.abort}
			s := newFakeStore(1)
			s.down = tt.down
			address := listen(t, bs)
			if tt.unreachable {
				address = "127.0.0.1:1"
			}
			envs := newBookingEnvs(t, 2, s, address)
			first := envs[0].post(t, pathVan, "van", headerIdempotencyKey, "k")
			second := envs[1].post(t, pathVan, tt.repeat, headerIdempotencyKey, "k")
			if first.status != tt.first || first.header.Get(headerRun) != tt.firstRun {
				t.Errorf("got %d %q, want %d %q", first.status, first.header.Get(headerRun), tt.first, tt.firstRun)
			}
			if second.status != tt.second || second.header.Get(headerRun) != tt.secondRun {
				t.Errorf("got %d %q for the repeat, want %d %q", second.status, second.header.Get(headerRun), tt.second, tt.secondRun)
			}
			if got := bs.count("van") + bs.count("bus"); got != tt.bookings {
				t.Errorf("got %d bookings, want %d", got, tt.bookings)
			}
		})
	}
}

// TestRepeatWhileStoreIsDown verifies that a repeat is served from the recent claims when the store fails.
func TestRepeatWhileStoreIsDown(t *testing.T) {
	bs := &bookingService{}
	s := newFakeStore(1)
	env := newBookingEnvs(t, 1, s, listen(t, bs))[0]
	env.post(t, pathVan, "van", headerIdempotencyKey, "k")
	s.down = true
	if got := env.post(t, pathVan, "van", headerIdempotencyKey, "k"); got.status != http.StatusOK || bs.count("van") != 1 {
		t.Errorf("got status %d and %d bookings, want 200 and 1", got.status, bs.count("van"))
	}
}

// TestReleasedClaimIsTakenOver verifies that a key can be claimed at another host
// after the first host released it, because its call was not sent.
func TestReleasedClaimIsTakenOver(t *testing.T) {
	bs := &bookingService{}
	s := newFakeStore(1)
	first := newBookingEnvs(t, 1, s, "127.0.0.1:1")[0].post(t, pathVan, "van", headerIdempotencyKey, "k")
	second := newBookingEnvs(t, 1, s, listen(t, bs))[0].post(t, pathVan, "van", headerIdempotencyKey, "k")
	if first.header.Get(headerRun) != runStatusNotRun || second.status != http.StatusOK || bs.count("van") != 1 {
		t.Errorf("got %q, then %d with %d bookings, want not-run, then 200 with 1", first.header.Get(headerRun), second.status, bs.count("van"))
	}
}

func TestServiceCalls(t *testing.T) {
	tests := []struct {
		name           string
		method         string
		postIdempotent bool
		bookings       int
	}{
		{name: "GET is retried within the budget", method: http.MethodGet, bookings: 2},
		{name: "POST is sent once", method: http.MethodPost, bookings: 1},
		{name: "POST configured as idempotent", method: http.MethodPost, postIdempotent: true, bookings: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			a, b := &bookingService{abort: true}, &bookingService{abort: true}
			env := newBookingEnvs(t, 1, nil, "127.0.0.1:1", listen(t, a), listen(t, b))[0]
			if tt.postIdempotent {
				env.server.IdempotentMethods = []string{http.MethodPost}
			}
			request, err := http.NewRequestWithContext(t.Context(), tt.method, env.url+pathVan, nil)
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set("X-Idempotency-Key", "replayed by net/http")
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			response.Body.Close()
			if got := a.count("") + b.count(""); got != tt.bookings || response.Header.Get(headerRun) != runStatusMaybeRun {
				t.Errorf("got %d sends, %s, want %d, %s", got, response.Header.Get(headerRun), tt.bookings, runStatusMaybeRun)
			}
		})
	}
}

// TestClaimsSendAtMostOnce makes the same call several times against a store that loses writes and responses
// and checks that at most one of them is sent.
func TestClaimsSendAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newFakeStore(rapid.Uint64().Draw(t, "seed"))
		s.lostResponses = rapid.Float64Range(0, 0.9).Draw(t, "lose")
		s.lostWrites = rapid.Float64Range(0, 0.5).Draw(t, "drop")
		claims := &Claims{Store: s, MaxWait: time.Nanosecond, StoreTimeout: 3 * time.Millisecond}
		sent := 0
		response := service.Response{Status: http.StatusOK, Body: []byte("booked")}
		for range rapid.IntRange(1, 6).Draw(t, "callers") {
			s.down = rapid.Bool().Draw(t, "down")
			held, current, err := claims.acquireOrWait(t.Context(), "claim/a/b", "hash")
			if current != nil && current.State == claimDone && string(current.Body) != "booked" {
				t.Fatalf("got %q from the claim, want the response", current.Body)
			}
			if err != nil || held == nil {
				continue
			}
			if !rapid.Bool().Draw(t, "reachable") {
				claims.release(t.Context(), held)
				continue
			}
			sent++
			if rapid.Bool().Draw(t, "answered") {
				_ = claims.record(t.Context(), held, claimDone, response)
			}
		}
		if sent > 1 {
			t.Fatalf("got %d sends, want at most 1", sent)
		}
	})
}

// TestClaimWithLostResponse verifies that a claim whose write took effect but whose response was lost
// is recognized as its own, and that a second call does not get it.
func TestClaimWithLostResponse(t *testing.T) {
	s := newFakeStore(1)
	s.lostResponses = 1
	claims := &Claims{Store: s, StoreTimeout: time.Second}
	held, err := claims.acquire(t.Context(), "claim/a/b", "hash", time.Now())
	if err != nil || held.revision != 1 {
		t.Fatalf("got %v, %v, want the claim at revision 1", held, err)
	}
	_, err = claims.acquire(t.Context(), "claim/a/b", "hash", time.Now())
	var taken *claimTakenError
	if !errors.As(err, &taken) {
		t.Errorf("got %v, want claimTakenError", err)
	}
}

// TestIdempotencyKeysAreNotReplayed guards against net/http, which replays requests with an Idempotency-Key header
// when a reused connection is closed.
func TestIdempotencyKeysAreNotReplayed(t *testing.T) {
	bs := &bookingService{abort: true}
	client := &httponce.Client{IdlePerHost: 1}
	address := listen(t, bs)
	for range 2 {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, strings.NewReader("van"))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set(headerIdempotencyKey, "k")
		if response, err := client.Do(request); err == nil {
			response.Body.Close()
		}
	}
	if got := bs.count("van"); got != 2 {
		t.Errorf("got %d sends of two requests, want 2", got)
	}
}

// TestCopiesOfCrashingCallAreRefused guards against a call that crashes a host of a plain service each time it is sent.
func TestCopiesOfCrashingCallAreRefused(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			t.Parallel()
			a, b := &bookingService{abort: true}, &bookingService{abort: true}
			env := newBookingEnvs(t, 1, nil, listen(t, a), listen(t, b))[0]
			var last *http.Response
			for range 6 {
				request, err := http.NewRequestWithContext(t.Context(), method, env.url+pathVan, nil)
				if err != nil {
					t.Fatal(err)
				}
				if last, err = http.DefaultClient.Do(request); err != nil {
					t.Fatal(err)
				}
				last.Body.Close()
			}
			if got := a.count("") + b.count(""); got > 2 {
				t.Errorf("got %d sends of a call that crashes its host, want at most 2", got)
			}
			if last.StatusCode != http.StatusUnprocessableEntity || last.Header.Get(headerRun) != runStatusNotRun {
				t.Errorf("got status %d, %s, want %d, %s", last.StatusCode, last.Header.Get(headerRun), http.StatusUnprocessableEntity, runStatusNotRun)
			}
		})
	}
}
