package settings

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"citronspread/model"
	"citronspread/workspace"
	"citronspread/yamlfile"
)

const valid = `Name: sialkot-a-1
Zone: sialkot-a
Region: punjab
Deployment: Qureshi
CallerAddress: 127.0.0.1:8101
PeerAddress: 127.0.0.1:8201
OperatorAddress: 127.0.0.1:8301
StoreAddress: 127.0.0.1:7001
HostListAddress: 127.0.0.1:7002
Seeds: ["127.0.0.1:8201", "127.0.0.1:8202"]
BalancerLag: 3s
WeightStore:
  LoadsPerSecond: 3
  ParallelLoads: 4
`

func TestParseValid(t *testing.T) {
	got, err := Parse("s.yaml", []byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if got.BalancerLag != 3*time.Second || got.Zone != "sialkot-a" || len(got.Seeds) != 2 {
		t.Errorf("got %+v, want BalancerLag 3s, Zone sialkot-a and two Seeds", got)
	}
	if got.KeepAlive.IdleWeight <= got.KeepAlive.ColdStartWeight {
		t.Errorf("got weights %+v, want IdleWeight above ColdStartWeight for Qureshi", got.KeepAlive)
	}
}

// TestParseRefuses guards against invalid settings that are accepted, or refused without the right line and key.
func TestParseRefuses(t *testing.T) {
	tests := []struct {
		name, old, new string
		line           int
		key            string
	}{
		{"unknown key", "BalancerLag: 3s", "BalancerLag: 3s\nBalancrLag: 3s", 12, "BalancrLag"},
		{"missing key", "Zone: sialkot-a\n", "", 1, "Zone"},
		{"no unit", "BalancerLag: 3s", "BalancerLag: 3", 11, "BalancerLag"},
		{"wrong unit", "BalancerLag: 3s", "BalancerLag: 3 parsecs", 11, "BalancerLag"},
		{"host name", "127.0.0.1:7001", "store.local:7001", 8, "StoreAddress"},
		{"wrong type", "ParallelLoads: 4", "ParallelLoads: [4]", 14, "WeightStore.ParallelLoads"},
		{"out of range", "ParallelLoads: 4", "ParallelLoads: 0", 14, "WeightStore.ParallelLoads"},
		{"duplicate key", "Region: punjab", "Region: punjab\nRegion: bavaria", 4, ""},
		{"same address", "127.0.0.1:8301", "127.0.0.1:8101", 7, "OperatorAddress"},
		{"weights missing", "Deployment: Qureshi", "Deployment: Custom", 4, "Deployment"},
		{"weight with a named deployment", "BalancerLag: 3s", "BalancerLag: 3s\nKeepAlive:\n  IdleWeight: 2", 13, "KeepAlive.IdleWeight"},
		{"conflicting deadlines", "BalancerLag: 3s", "BalancerLag: 3s\nDeadlines:\n  Request: 2h\n  LongestRequest: 1h", 13, "Deadlines.Request"},
		{"unknown nested key", "  ParallelLoads: 4", "  ParallelLoads: 4\n  Burst: 9", 15, "WeightStore.Burst"},
		{"not a mapping", "WeightStore:\n  LoadsPerSecond: 3\n  ParallelLoads: 4", "WeightStore: 3", 12, "WeightStore"},
		{"invalid YAML", "Region: punjab", "Region: [punjab", 4, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			body := strings.Replace(valid, tt.old, tt.new, 1)
			_, err := Parse("s.yaml", []byte(body))
			var got *yamlfile.Problem
			if !errors.As(err, &got) {
				t.Fatalf("got error %v, want a yamlfile.Problem", err)
			}
			if got.Line != tt.line || got.Key != tt.key || got.File != "s.yaml" || got.Expected == "" {
				t.Errorf("got %+v, want line %d and key %q", got, tt.line, tt.key)
			}
		})
	}
}

// TestParseListsAll guards against an error that names only the first problem of the file.
func TestParseListsAll(t *testing.T) {
	body := strings.NewReplacer("BalancerLag: 3s", "BalancerLag: 3", "Region: punjab", "Regoin: punjab").Replace(valid)
	_, err := Parse("s.yaml", []byte(body))
	var got yamlfile.Problems
	if !errors.As(err, &got) || len(got) != 3 {
		t.Errorf("got %v, want three problems", err)
	}
}

const workspacesYAML = `Workspaces:
  - Name: hule930
    Keys: ["secret-1", "secret-2"]
    Priority: 1
  - Name: other
    Keys: [517823]
  - Name: locked
`

func TestParseWorkspaces(t *testing.T) {
	got, err := Parse("s.yaml", []byte(valid+workspacesYAML))
	if err != nil {
		t.Fatal(err)
	}
	one := 1
	want := []model.Workspace{{Name: "hule930", Keys: []string{"secret-1", "secret-2"}, Priority: &one}, {Name: "other", Keys: []string{"517823"}}, {Name: "locked"}}
	if !reflect.DeepEqual(got.Workspaces, want) {
		t.Errorf("got %v, want %v", got.Workspaces, want)
	}
	if shown := fmt.Sprintf("%v %+v %#v", got, got, got); strings.Contains(shown, "secret") || strings.Contains(shown, "517823") {
		t.Error("got a key in the formatted settings, want none")
	}
	if got, err := Parse("s.yaml", []byte(valid)); err != nil || len(got.Workspaces) > 0 {
		t.Errorf("got %v, %v, want no workspaces", got.Workspaces, err)
	}
}

// TestParseRefusesWorkspaces guards against invalid workspaces that are accepted, and against problems that name another line or
// key, or show the key of a workspace.
func TestParseRefusesWorkspaces(t *testing.T) {
	tests := []struct {
		name, old, new string
		line           int
		key            string
	}{
		{"empty key", `"secret-2"`, `""`, 17, "Workspaces[0].Keys"},
		{"same key twice", `"secret-2"`, `"secret-1"`, 17, "Workspaces[0].Keys"},
		{"key in two workspaces", "517823", "secret-1", 20, "Workspaces[1].Keys"},
		{"key that is no scalar", `"secret-2"`, `{"secret-2": 1}`, 17, "Workspaces[0].Keys"},
		{"no list of keys", "[517823]", "secret-3", 20, "Workspaces[1].Keys"},
		{"name twice", "Name: other", "Name: hule930", 19, "Workspaces[1].Name"},
		{"name that is a key", "Name: other", "Name: secret-1", 19, "Workspaces[1].Name"},
		{"empty name", "Name: other", `Name: ""`, 19, "Workspaces[1].Name"},
		{"no name", "- Name: other\n    Keys", "- Keys", 19, "Workspaces[1].Name"},
		{"negative priority", "Priority: 1", "Priority: -1", 18, "Workspaces[0].Priority"},
		{"huge priority", "Priority: 1", "Priority: 99999999999999999999", 18, "Workspaces[0].Priority"},
		{"fractional priority", "Priority: 1", "Priority: 1.5", 18, "Workspaces[0].Priority"},
		{"unknown key", "Priority: 1", "Prio: 1", 18, "Workspaces[0].Prio"},
		{"empty list", workspacesYAML, "Workspaces: []\n", 15, "Workspaces"},
		{"no list", workspacesYAML, "Workspaces: secret-1\n", 15, "Workspaces"},
		{"list of keys", workspacesYAML, "Workspaces: [secret-1]\n", 15, "Workspaces[0]"},
		{"invalid YAML", `"secret-2"]`, `"secret-2`, 0, ""},
		{"repeated key", "Name: other", "Name: other\n    Name: secret-1", 20, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			body := valid + strings.Replace(workspacesYAML, tt.old, tt.new, 1)
			if body == valid+workspacesYAML {
				t.Fatalf("the text %q is not in the settings", tt.old)
			}
			_, err := Parse("s.yaml", []byte(body))
			var got *yamlfile.Problem
			if !errors.As(err, &got) {
				t.Fatalf("got error %v, want a yamlfile.Problem", err)
			}
			if got.Key != tt.key || tt.line > 0 && got.Line != tt.line {
				t.Errorf("got %v, want line %d and key %q", got, tt.line, tt.key)
			}
			if strings.Contains(err.Error(), "secret") || strings.Contains(err.Error(), "517823") {
				t.Errorf("got a key in %q", err)
			}
		})
	}
}

// FuzzParseWorkspaces guards against settings that crash the reader, and against invalid workspaces that it accepts.
func FuzzParseWorkspaces(f *testing.F) {
	f.Add(workspacesYAML)
	f.Add("Workspaces:\n  - Name: a\n    Keys: [b, b]\n")
	f.Add("Workspaces: {a: 1}\n")
	f.Fuzz(func(t *testing.T, body string) {
		s, err := Parse("s.yaml", []byte(valid+body))
		if err == nil && workspace.Check(s.Workspaces) != nil {
			t.Errorf("got workspaces that are not valid: %v", workspace.Check(s.Workspaces))
		}
	})
}
