package gateway

import (
	"fmt"
	"testing"

	"citronspread/model"
)

// workspaceState returns a desired state with a number of workspaces of two keys each.
func workspaceState(workspaces int) model.DesiredState {
	state := model.DesiredState{
		Version: 7,
		Routes: []model.Route{
			{Name: "chat", Host: "h.example", Prefix: "/chat/", Priority: 2, Shares: []model.ServiceShare{{Service: "llm", Weight: 1}}},
			{Name: "open", Host: "h.example", Prefix: "/open/", Anonymous: true, Shares: []model.ServiceShare{{Service: "desk", Weight: 1}}},
		},
	}
	for i := range workspaces {
		w := model.Workspace{Name: fmt.Sprint("w", i), Keys: []string{fmt.Sprintf("key-%030d", i), fmt.Sprintf("old-%030d", i)}}
		if i == 0 {
			urgent := 0
			w.Priority = &urgent
		}
		state.Workspaces = append(state.Workspaces, w)
	}
	return state
}

// newAdmittingDispatcher returns a dispatcher of a host with a desired state.
func newAdmittingDispatcher(state model.DesiredState) *Dispatcher {
	h := &Host{}
	h.routes.Store(newRouteTable(state))
	h.caughtUp.Store(true)
	return &Dispatcher{host: h}
}

// TestAdmit guards against requests that are refused or admitted against the desired state in force.
func TestAdmit(t *testing.T) {
	d := newAdmittingDispatcher(workspaceState(2))
	const first, second = "key-000000000000000000000000000000", "old-000000000000000000000000000001"
	tests := []struct {
		name, path, key string
		found, refused  bool
		workspace       string
		priority        int
	}{
		{"key", "/chat/x", first, true, false, "w0", 0},
		{"key of a workspace without a priority", "/chat/x", second, true, false, "w1", 2},
		{"no key", "/chat/x", "", true, true, "", 2},
		{"unknown key", "/chat/x", "key-0", true, true, "", 2},
		{"anonymous", "/open/x", "", true, false, "", 0},
		{"anonymous, unknown key", "/open/x", "key-0", true, false, "", 0},
		{"anonymous, key", "/open/x", second, true, false, "w1", 0},
		{"no route", "/none/x", first, false, false, "w0", 0},
	}
	for _, tt := range tests {
		a := d.Admit("H.example", tt.path, "q", tt.key)
		if !a.Known || a.Version != 7 || !a.NeedsKeys || a.Found != tt.found || a.IsRefused() != tt.refused || a.Workspace.Name != tt.workspace || a.Priority() != tt.priority {
			t.Errorf("%s: got %+v, refused %v, priority %d, want %+v", tt.name, a, a.IsRefused(), a.Priority(), tt)
		}
		if len(a.Workspace.Keys) > 0 {
			t.Errorf("%s: got a workspace with its keys, want none", tt.name)
		}
	}
	d.host.caughtUp.Store(false)
	if a := d.Admit("h.example", "/chat/x", "q", first); a.Known || a.IsRefused() {
		t.Errorf("got %+v from a host that has not caught up, want nothing known", a)
	}
	if a := newAdmittingDispatcher(workspaceState(0)).Admit("h.example", "/chat/x", "q", ""); a.NeedsKeys || a.IsRefused() || !a.Found {
		t.Errorf("got %+v without workspaces, want an admitted request", a)
	}
	locked := workspaceState(1)
	locked.Workspaces[0].Keys = nil
	if a := newAdmittingDispatcher(locked).Admit("h.example", "/chat/x", "q", ""); !a.IsRefused() {
		t.Errorf("got %+v with a workspace that has no key, want a refusal", a)
	}
}

// TestRouteTableHasNoKeys guards against keys that stay in memory where dumps of the state are made from.
func TestRouteTableHasNoKeys(t *testing.T) {
	state := workspaceState(2)
	table := newRouteTable(state)
	for _, w := range table.state.Workspaces {
		if len(w.Keys) > 0 {
			t.Errorf("got %d keys of %s in the table, want none", len(w.Keys), w.Name)
		}
	}
	if len(table.state.Workspaces) != 2 || len(state.Workspaces[0].Keys) != 2 {
		t.Errorf("got %d workspaces, and %d keys left in the decoded state, want 2 and 2", len(table.state.Workspaces), len(state.Workspaces[0].Keys))
	}
}

// BenchmarkAdmit measures the decision on one request, whose cost must not depend on the number of workspaces.
func BenchmarkAdmit(b *testing.B) {
	for _, count := range []int{0, 16, 10_000} {
		d := newAdmittingDispatcher(workspaceState(count))
		key := fmt.Sprintf("old-%030d", count/2)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				if d.Admit("h.example", "/chat/x", "q", key).IsRefused() {
					b.Fatal("got a refusal")
				}
			}
		})
	}
}
