package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"citronspread/model"
)

var start = time.Unix(1_000_000, 0)

// TestMergeOrder guards against hosts that know different loads after they have received the same messages in another order.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var views []model.BackendLoad
		for i := range rapid.IntRange(1, 6).Draw(t, "views") {
			at := func(name string) time.Time {
				// A second apart, since parts that are nearly equally old are taken for the same one.
				return start.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, name)) * time.Second)
			}
			v := model.BackendLoad{Backend: "a"}
			v.Stated.At = at("stated")
			v.Stated.Running = int(v.Stated.At.Sub(start).Seconds()) * 10
			v.Held.At = at("held")
			v.Held.Requests = int(v.Held.At.Sub(start).Seconds()) * 100
			if i%2 == 0 {
				v.FullAt = at("full")
			}
			views = append(views, v)
		}
		merge := func(order []int) model.BackendLoad {
			merged := model.BackendLoad{Backend: "a"}
			for _, i := range order {
				Merge(&merged, views[i])
			}
			return merged
		}
		order := rand.Perm(len(views))
		forward := make([]int, len(views))
		for i := range forward {
			forward[i] = i
		}
		if got, want := merge(order), merge(forward); !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v in the order %v, want %+v", got, order, want)
		}
	})
}

// TestReceive guards against values in messages that no backend server can have, and against parts that last longer than others.
func TestReceive(t *testing.T) {
	got := Receive(start, []model.BackendLoad{
		{Backend: "a", Stated: model.StatedLoad{Running: -1, Waiting: math.MaxInt, Slots: -5, Slowness: 1, At: start.Add(time.Hour)}},
		{Backend: "b", Held: model.HeldLoad{Requests: -3, Tokens: math.MaxInt, Rate: math.NaN(), At: start.Add(-time.Second)}},
		{Backend: "c", Held: model.HeldLoad{Requests: 3, At: start.Add(-MaxAge - time.Second)}},
		{Backend: "", FullAt: start},
		{Backend: "d"},
	})
	want := []model.BackendLoad{
		{Backend: "a", Stated: model.StatedLoad{Waiting: MaxRequests, Slowness: MinSlowness, At: start}, Held: model.HeldLoad{}},
		{Backend: "b", Stated: model.StatedLoad{Slowness: 100}, Held: model.HeldLoad{Tokens: MaxTokens, At: start.Add(-time.Second)}},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestLedgerSum guards against sums that keep the requests of a host that is gone, or lose those of a host whose report is late.
func TestLedgerSum(t *testing.T) {
	var l Ledger
	l.Record(start, "x", Report{Started: 2, Requests: 2, Tokens: 200})
	l.Record(start, "y", Report{Started: 5, Requests: 3, Tokens: 900})
	l.Record(start.Add(time.Second), "x", Report{Started: 1, Requests: 1, Tokens: 50})
	steps := []struct {
		after    time.Duration
		requests int
		tokens   int
	}{{time.Second, 4, 950}, {2900 * time.Millisecond, 4, 950}, {3 * time.Second, 1, 50}, {4 * time.Second, 0, 0}}
	for _, s := range steps {
		if got := l.Sum(start.Add(s.after)); got.Requests != s.requests || got.Tokens != s.tokens {
			t.Errorf("after %v: got %+v, want %d requests and %d tokens", s.after, got, s.requests, s.tokens)
		}
	}
	l.Record(start, "z", Report{Requests: math.MaxInt, Tokens: math.MaxInt, Started: math.MinInt})
	if got := l.Sum(start); got.Requests > MaxRequests+10 || got.Tokens > MaxTokens+10_000 || got.Rate < 0 {
		t.Errorf("got %+v, want the values of a report within their bounds", got)
	}
}

// TestLedgerReservesWithinRoom guards against owners that give out more places than a backend server has, while the reports that
// show the requests are on their way or lost, and against places that are never free again.
func TestLedgerReservesWithinRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		room := Room{Requests: float64(rapid.IntRange(1, 40).Draw(t, "requests")), Tokens: rapid.IntRange(1, 20_000).Draw(t, "tokens")}
		var l Ledger
		type request struct {
			tokens int
			placed time.Time
		}
		running := make(map[string][]request) // by host
		reported := make(map[string]time.Time)
		now := start
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 120).Draw(t, "ms")) * time.Millisecond)
			host := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "host"))
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				size := rapid.IntRange(1, 3_000).Draw(t, "size")
				if l.Reserve(now, Place{Host: host, Tokens: size}, room) {
					running[host] = append(running[host], request{tokens: size, placed: now})
				}
			case 1:
				if n := len(running[host]); n > 0 {
					running[host] = running[host][:n-1]
				}
			}
			for h, requests := range running { // each host reports about twice a second
				if now.Sub(reported[h]) < 500*time.Millisecond {
					continue
				}
				reported[h] = now
				r := Report{Requests: len(requests)}
				for _, q := range requests {
					r.Tokens += q.tokens
				}
				l.Record(now, h, r)
			}
			total, tokens, count := 0, 0, 0
			for _, requests := range running {
				for _, q := range requests {
					total += q.tokens
					tokens, count = max(tokens, q.tokens), count+1
				}
			}
			// One request is allowed on an empty server whatever its size.
			if float64(count) > room.Requests || total > max(room.Tokens, tokens) {
				t.Fatalf("got %d requests with %d tokens, want at most %v and %d", count, total, room.Requests, room.Tokens)
			}
		}
		if !l.Reserve(now.Add(reportTTL+reservationTTL), Place{Host: "x", Tokens: 1}, room) {
			t.Fatal("got no place after all hosts have stopped reporting")
		}
	})
}
