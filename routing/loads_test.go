package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"citronspread/load"
	"citronspread/model"
)

// TestLoadView guards against estimates that count this router's own requests twice, trust old information or a statement that
// is far below what the hosts report.
func TestLoadView(t *testing.T) {
	ago := func(d time.Duration) time.Time { return testTime.Add(-d) }
	tests := []struct {
		name       string
		known      model.BackendLoad
		own        int
		others     float64
		weightFrom float64
		weightTo   float64
	}{
		{name: "nothing known"},
		{name: "just stated", known: model.BackendLoad{Stated: model.StatedLoad{Running: 10, Waiting: 5, At: ago(0)}}, own: 3, others: 12, weightFrom: 1, weightTo: 1},
		{name: "reported", known: model.BackendLoad{Held: model.HeldLoad{Requests: 9, At: ago(0)}}, own: 2, others: 7, weightFrom: 0.85, weightTo: 0.9},
		{name: "the newer one counts", known: model.BackendLoad{Stated: model.StatedLoad{Running: 10, At: ago(3 * time.Second)}, Held: model.HeldLoad{Requests: 4, At: ago(time.Second)}}, others: 4, weightFrom: 0.5, weightTo: 0.6},
		{name: "stated far below the reports", known: model.BackendLoad{Stated: model.StatedLoad{At: ago(0)}, Held: model.HeldLoad{Requests: 30, At: ago(time.Second)}}, others: 15, weightFrom: 1, weightTo: 1},
		{name: "old", known: model.BackendLoad{Held: model.HeldLoad{Requests: 9, At: ago(5 * time.Second)}}, others: 9, weightTo: 0.1},
		{name: "too old", known: model.BackendLoad{Held: model.HeldLoad{Requests: 9, At: ago(11 * time.Second)}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newLoadRouter(replica("a", 16))
			b := r.fleet.get("a")
			b.ownRequests = tt.own
			b.recordLoad(testTime.Add(-time.Minute).UnixNano() / int64(loadHistoryInterval))
			b.recordLoad(testTime.UnixNano() / int64(loadHistoryInterval))
			tt.known.Backend = "a"
			r.MergeLoads(testTime, []model.BackendLoad{tt.known}, true)
			got := r.loadView(testTime, "a")
			if got.others != tt.others || got.weight < tt.weightFrom || got.weight > tt.weightTo {
				t.Errorf("got %+v, want %v others and a weight from %v to %v", got, tt.others, tt.weightFrom, tt.weightTo)
			}
		})
	}
}

// TestUnknownLoadIsNoAdvantage guards against a backend server that gets more than its part because its load is not known.
func TestUnknownLoadIsNoAdvantage(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	candidates := make([]Candidate, 8)
	for i := range candidates {
		candidates[i] = Candidate{Backend: fmt.Sprint(i), Capacity: 32, KnownOthers: 20 + float64(i%3), Confidence: 0.8, Typical: 0.3, Slowness: 1}
	}
	candidates[0].KnownOthers, candidates[0].Confidence = 0, 0
	counts := make([]int, len(candidates))
	for range 16_000 {
		counts[EvenPicker{4}.Pick(testTime, candidates, random)]++
	}
	if counts[0] > 2200 {
		t.Errorf("got %v, want about 2000 of 16000 for the first, whose load is not known", counts)
	}
}

// TestMemoryIsNotOverfilled guards against requests that are sent although their tokens do not fit beside those of this router
// and of others, and against a request that waits although it fits.
func TestMemoryIsNotOverfilled(t *testing.T) {
	small := replica("a", 64)
	small.CacheTokens = 10_000
	tests := []struct {
		name  string
		own   int // tokens
		held  model.HeldLoad
		size  int
		grant bool
	}{
		{name: "empty", size: 9_900, grant: true},
		{name: "larger than the memory", size: 10_001},
		{name: "fits beside the own ones", own: 4_000, size: 5_000, grant: true},
		{name: "does not fit beside the own ones", own: 4_001, size: 5_000},
		{name: "fits beside those of others", held: model.HeldLoad{Requests: 4, Tokens: 4_000, At: testTime}, size: 5_000, grant: true},
		{name: "does not fit beside those of others", held: model.HeldLoad{Requests: 5, Tokens: 6_000, At: testTime}, size: 5_000},
		{name: "others have sent more since", held: model.HeldLoad{Requests: 4, Tokens: 4_000, Rate: 4, At: testTime.Add(-time.Second)}, size: 2_000},
		{name: "the request states nothing", own: 9_500, held: model.HeldLoad{}, size: 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newLoadRouter(small)
			r.tokenMean.add(testTime, 1_000)
			if tt.own > 0 {
				r.fleet.get("a").ownTokens, r.fleet.get("a").ownRequests = tt.own, 1
			}
			r.MergeLoads(testTime, []model.BackendLoad{{Backend: "a", Held: tt.held}}, true)
			tk := ticket(testTime, 10, time.Minute)
			tk.Tokens = tt.size
			r.admit(testTime, tk)
			_, g := tk.outcome()
			if (g != nil) != tt.grant {
				t.Fatalf("got granted %v, want %v", g != nil, tt.grant)
			}
			if g != nil {
				g.Done(testTime, OutcomeComplete)
				if got := r.fleet.get("a").ownTokens; got != tt.own {
					t.Errorf("got %d tokens after the request has ended, want %d", got, tt.own)
				}
			}
		})
	}
}

// TestNeedsPlace guards against requests that are sent without a place although many hosts may send at the same time, and
// against a call to the owner for each request of a small fleet.
func TestNeedsPlace(t *testing.T) {
	tests := []struct {
		name        string
		hosts       int
		cacheTokens int
		held        int
		want        bool
	}{
		{name: "no memory stated", hosts: 300, held: 10},
		{name: "few hosts", hosts: 8, cacheTokens: 129_023, held: 10},
		{name: "many hosts", hosts: 78, cacheTokens: 129_023, held: 10, want: true},
		{name: "many hosts, large memory", hosts: 78, cacheTokens: 1_000_000, held: 10},
		{name: "nearly full", hosts: 8, held: 38, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			one := replica("a", 32)
			one.CacheTokens = tt.cacheTokens
			r := newLoadRouter(one)
			snapshot := *r.Snapshot.Load()
			snapshot.Hosts = tt.hosts
			r.Snapshot.Store(&snapshot)
			r.MergeLoads(testTime, []model.BackendLoad{{Backend: "a", Held: model.HeldLoad{Requests: tt.held, Tokens: 1_800 * tt.held, At: testTime}}}, true)
			tk := ticket(testTime, 10, time.Minute)
			tk.Tokens = 1_800
			r.admit(testTime, tk)
			_, g := tk.outcome()
			if g == nil || g.NeedsPlace() != tt.want {
				t.Errorf("got grant %v, want one that needs a place: %v", g, tt.want)
			}
		})
	}
}

// TestNoPlaceIsTriedElsewhereAtOnce guards against requests that wait at a backend server without a place while another one has
// room.
func TestNoPlaceIsTriedElsewhereAtOnce(t *testing.T) {
	r := newLoadRouter(replica("a", 16), replica("b", 16))
	first := ticket(testTime, 10, time.Minute)
	r.admit(testTime, first)
	denied, g := first.outcome()
	g.Done(testTime, OutcomeNoPlace)
	again := ticket(testTime, 10, time.Minute)
	r.admit(testTime, again)
	if got, _ := again.outcome(); got == denied || got == "waiting" {
		t.Errorf("got %s, want the backend server other than %s", got, denied)
	}
	if got := r.fleet.get(denied).ownRequests; got != 0 {
		t.Errorf("got %d requests at the backend server without a place, want 0", got)
	}
}

// TestLoadsAfter guards against loads that a relay is told again and again, or that a host sends back to it.
func TestLoadsAfter(t *testing.T) {
	r := newLoadRouter(replica("a", 16), replica("b", 16))
	r.RecordLoad(testTime, "a", LoadStatement{Load: model.StatedLoad{Running: 1, Slots: 16}, Stated: true})
	r.MergeLoads(testTime, []model.BackendLoad{{Backend: "b", Held: model.HeldLoad{Requests: 2, At: testTime}}}, true)
	learned, told := r.LoadsAfter(testTime, 0, true)
	if len(learned) != 1 || learned[0].Backend != "a" {
		t.Errorf("got %v to tell the relay, want that of a", learned)
	}
	all, last := r.LoadsAfter(testTime, 0, false)
	if len(all) != 2 {
		t.Errorf("got %v to tell a follower, want both", all)
	}
	// The reply of the relay takes a while, so that the same loads look a little newer.
	echo := all[0]
	echo.Stated.At = echo.Stated.At.Add(20 * time.Millisecond)
	r.MergeLoads(testTime.Add(50*time.Millisecond), []model.BackendLoad{echo}, true)
	if again, _ := r.LoadsAfter(testTime, last, false); len(again) != 0 {
		t.Errorf("got %v again, want nothing new", again)
	}
	if again, _ := r.LoadsAfter(testTime, told, true); len(again) != 0 {
		t.Errorf("got %v again to tell the relay, want nothing new", again)
	}
	if restarted, _ := r.LoadsAfter(testTime, last+1000, false); len(restarted) != 2 {
		t.Errorf("got %v after a number of an earlier process, want both", restarted)
	}
	r.ForgetLoad("a")
	if _, found := r.Load("a"); found {
		t.Error("got the load of a backend server that is gone")
	}
}

// TestReceivedLoadsAreBounded guards against values in messages that lead to estimates that are no numbers, negative or without
// bound, and against a table that grows with the names in messages.
func TestReceivedLoadsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newLoadRouter(replica("a", 16), replica("b", 16))
		now := testTime
		for range rapid.IntRange(1, 8).Draw(t, "messages") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			at := func(name string) time.Time {
				if rapid.Bool().Draw(t, name+" set") {
					return now.Add(time.Duration(rapid.Int64Range(-20_000, 20_000).Draw(t, name)) * time.Millisecond)
				}
				return time.Time{}
			}
			l := model.BackendLoad{
				Backend: rapid.SampledFrom([]string{"a", "b", "", "unknown"}).Draw(t, "backend"),
				Stated:  model.StatedLoad{Running: rapid.Int().Draw(t, "running"), Waiting: rapid.Int().Draw(t, "waiting"), Slots: rapid.Int().Draw(t, "slots"), Slowness: rapid.Int().Draw(t, "slowness"), At: at("stated")},
				Held:    model.HeldLoad{Requests: rapid.Int().Draw(t, "held"), Tokens: rapid.Int().Draw(t, "tokens"), Rate: rapid.Float64().Draw(t, "rate"), At: at("held at")},
				FullAt:  at("full"),
			}
			r.MergeLoads(now, load.Receive(now, []model.BackendLoad{l}), rapid.Bool().Draw(t, "relayed"))
			tk := ticket(now, 10, time.Minute)
			r.admit(now, tk)
			if _, g := tk.outcome(); g != nil {
				g.Done(now, OutcomeComplete)
			}
			for _, name := range []string{"a", "b"} {
				v := r.loadView(now, name)
				for _, x := range []float64{v.others, v.tokens, v.rate, v.slowness, v.weight, r.typicalLoad(now)} {
					if math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
						t.Fatalf("got %+v, want numbers from 0 on", v)
					}
				}
				if v.weight > 1 || v.slowness < 0.5 || v.slowness > 32 {
					t.Fatalf("got %+v, want a weight up to 1 and a slowness from 0.5 to 32", v)
				}
			}
		}
		if len(r.loads.entries) > 3 {
			t.Fatalf("got %d entries, want at most three", len(r.loads.entries))
		}
	})
}
