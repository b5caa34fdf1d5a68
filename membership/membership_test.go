package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"citronspread/model"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

func newPeer(name, incarnation string) model.Peer {
	return model.Peer{Name: name, Zone: "muenchen", Address: name + ":1", Incarnation: model.Incarnation(incarnation)}
}

func TestMembersDetectFailure(t *testing.T) {
	tests := []struct {
		name    string
		silence time.Duration
		refused bool
		want    int // live hosts, including self
	}{
		{"recent heartbeat", FailureTimeout - time.Second, false, 2},
		{"silent", FailureTimeout, false, 1},
		{"refused recently", RefusedFailureTimeout - time.Millisecond, true, 2},
		{"refused and silent", RefusedFailureTimeout, true, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			members := NewMembers(newPeer("a", "a1"))
			members.Introduce(start, newPeer("b", "b1"))
			if tt.refused {
				members.Refused("b")
			}
			if got := len(members.Live(start.Add(tt.silence))); got != tt.want {
				t.Errorf("live: got %d, want %d", got, tt.want)
			}
		})
	}
}

func TestMembersDetectReplacedIncarnations(t *testing.T) {
	members := NewMembers(newPeer("a", "a1"))
	members.Introduce(start, newPeer("b", "b1"))
	moved := newPeer("b", "b2")
	moved.Address = "elsewhere:1"
	members.Introduce(start, moved)
	if got, want := len(members.Stopped()), 0; got != want {
		t.Errorf("stopped after a move: got %d, want %d: the old process may still be running", got, want)
	}
	again := moved
	again.Incarnation = "b3"
	members.Introduce(start, again)
	if got, want := fmt.Sprint(members.Stopped()), "[b2]"; got != want {
		t.Errorf("stopped after a restart at the same address: got %s, want %s", got, want)
	}
}

func TestMembersReceiveHeartbeatsThroughOthers(t *testing.T) {
	a, b, c := NewMembers(newPeer("a", "a1")), NewMembers(newPeer("b", "b1")), NewMembers(newPeer("c", "c1"))
	c.IncrementHeartbeat([]Load{{Backend: NewBackendID("x"), Running: 3, Age: NewAgeTenths(time.Second)}})
	b.Merge(start, c.NewerHeartbeats(nil))
	b.Introduce(start, c.Self)
	a.Introduce(start, c.Self)
	later := start.Add(FailureTimeout - time.Second)
	a.Merge(later, b.NewerHeartbeats(a.HeartbeatDigest()))
	if got, want := len(a.Live(start.Add(FailureTimeout))), 2; got != want {
		t.Errorf("live: got %d, want %d", got, want)
	}
	if got, want := a.LoadsByBackend(later)[NewBackendID("x")], (DatedLoad{Running: 3, TakenAt: later.Add(-time.Second)}); got != want {
		t.Errorf("load: got %v, want %v", got, want)
	}
}

// TestAssignIsEven checks that each backend server has one owner and that no host owns more than its share.
func TestAssignIsEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := make([]model.Peer, rapid.IntRange(1, 60).Draw(t, "hosts"))
		for i := range hosts {
			hosts[i] = newPeer(fmt.Sprintf("host-%d", i), "")
		}
		backends := make([]string, rapid.IntRange(0, 120).Draw(t, "backends"))
		for i := range backends {
			backends[i] = fmt.Sprintf("backend-%d", i)
		}
		owned := make(map[string]int)
		assignments := Assign(hosts, backends)
		for _, a := range assignments {
			owned[a.Owner]++
		}
		if got, want := len(assignments), len(backends); got != want {
			t.Fatalf("assignments: got %d, want %d", got, want)
		}
		for host, got := range owned {
			if want := (len(backends) + len(hosts) - 1) / len(hosts); got > want {
				t.Fatalf("%s owns %d, want at most %d", host, got, want)
			}
		}
	})
}

// TestLeaderChangesOnlyForLeavingHost checks that when a host leaves, only the keys whose leader it was get another
// leader.
func TestLeaderChangesOnlyForLeavingHost(t *testing.T) {
	hosts := []model.Peer{newPeer("a", ""), newPeer("b", ""), newPeer("c", ""), newPeer("d", "")}
	for i := range 200 {
		key := fmt.Sprintf("model-%d", i)
		before, _ := Leader(hosts, key)
		after, _ := Leader(hosts[:3], key)
		if before.Name != "d" && before.Name != after.Name {
			t.Errorf("%s: leader changed from %s to %s, want no change", key, before.Name, after.Name)
		}
	}
}
