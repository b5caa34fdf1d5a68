package store_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"citronspread/standin"
	"citronspread/store"
)

// newClient serves s over HTTP and returns a client of zone-a for it.
func newClient(t *testing.T, s *standin.Store) *store.Client {
	t.Helper()
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return &store.Client{Address: server.Listener.Addr().String(), Zone: "zone-a", HTTP: server.Client()}
}

func TestCompareAndSwap(t *testing.T) {
	s := &standin.Store{}
	c, ctx := newClient(t, s), context.Background()

	var notFound *store.NotFoundError
	if _, err := c.Get(ctx, "model/a@1"); !errors.As(err, &notFound) {
		t.Fatalf("got %v, want NotFoundError", err)
	}
	first, err := c.CompareAndSwap(ctx, "model/a@1", []byte("x"), 0)
	if err != nil {
		t.Fatal(err)
	}
	var conflict *store.ConflictError
	if _, err := c.CompareAndSwap(ctx, "model/a@1", []byte("y"), 0); !errors.As(err, &conflict) {
		t.Fatalf("got %v, want ConflictError", err)
	}
	if got, want := string(conflict.Current.Value), "x"; got != want || conflict.Current.Revision != first {
		t.Errorf("got %q at %d, want %q at %d", got, conflict.Current.Revision, want, first)
	}
	if _, err := c.Delete(ctx, "model/a@1", first); err != nil {
		t.Fatal(err)
	}
	listing, err := c.List(ctx, "model/")
	if got, want := len(listing.Entries), 0; got != want || err != nil || listing.Revision != first+1 {
		t.Errorf("got %d entries at %d (%v), want %d at %d", got, listing.Revision, err, want, first+1)
	}
}

// TestFaults guards against a write that took effect being reported as one that certainly failed. The service is
// unavailable, does not respond in time, or performs the write and loses the response.
func TestFaults(t *testing.T) {
	tests := []struct {
		name      string
		fault     standin.StoreFault
		ambiguous bool
		written   bool
	}{
		{"down", standin.StoreFault{Down: true}, false, false},
		{"lost response", standin.StoreFault{LoseAnswers: 1}, true, true},
		{"zone partitioned", standin.StoreFault{UnreachableZones: []string{"zone-a"}}, true, false},
		{"slow", standin.StoreFault{DelayMS: 300}, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &standin.Store{}
			c := newClient(t, s)
			s.SetFault(tt.fault)
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()

			_, err := c.CompareAndSwap(ctx, "k", []byte("v"), 0)
			var unavailable *store.UnavailableError
			if !errors.As(err, &unavailable) {
				t.Fatalf("got %v, want UnavailableError", err)
			}
			if got, want := unavailable.Ambiguous, tt.ambiguous; got != want {
				t.Errorf("got Ambiguous %v, want %v", got, want)
			}
			s.SetFault(standin.StoreFault{})
			_, err = c.Get(context.Background(), "k")
			if got, want := err == nil, tt.written; got != want {
				t.Errorf("got written %v, want %v", got, want)
			}
		})
	}
}

func TestLimits(t *testing.T) {
	c := newClient(t, &standin.Store{WritesPerSecond: 1, ReadsPerSecond: 1})
	ctx := context.Background()
	var tooLarge *store.ValueTooLargeError
	if _, err := c.CompareAndSwap(ctx, "k", []byte(strings.Repeat("v", 1<<20+1)), 0); !errors.As(err, &tooLarge) {
		t.Errorf("got %v, want ValueTooLargeError", err)
	}
	var limited *store.RateLimitedError
	if _, err := c.CompareAndSwap(ctx, "k", nil, 0); !errors.As(err, &limited) {
		t.Errorf("got %v, want RateLimitedError", err)
	}
}

func TestWatch(t *testing.T) {
	s := &standin.Store{}
	c, ctx := newClient(t, s), context.Background()
	revision, err := c.CompareAndSwap(ctx, "config/a", []byte("1"), 0)
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(20*time.Millisecond, func() { _, _ = c.CompareAndSwap(ctx, "config/b", []byte("2"), 0) })
	change, err := c.Watch(ctx, "config/", revision, time.Second)
	if err != nil || len(change.Entries) != 1 || change.Entries[0].Key != "config/b" {
		t.Fatalf("got %+v, %v, want the entry config/b", change, err)
	}
	change, err = c.Watch(ctx, "config/", change.Revision, 10*time.Millisecond)
	if err != nil || len(change.Entries) != 0 {
		t.Fatalf("got %+v, %v, want no change", change, err)
	}
}

func TestLeases(t *testing.T) {
	c, ctx := newClient(t, &standin.Store{}), context.Background()
	lease, err := c.GrantLease(ctx, 50*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.CompareAndSwapLeased(ctx, "k", nil, 0, lease.ID); err != nil {
		t.Fatal(err)
	}
	if err := c.Renew(ctx, lease.ID); err != nil {
		t.Fatal(err)
	}
	time.Sleep(120 * time.Millisecond)
	var notFound *store.NotFoundError
	if _, err := c.Get(ctx, "k"); !errors.As(err, &notFound) {
		t.Errorf("got %v, want NotFoundError", err)
	}
	if err := c.Renew(ctx, lease.ID); !errors.As(err, &notFound) {
		t.Errorf("got %v, want NotFoundError", err)
	}
}
