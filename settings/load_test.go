package settings

import (
	"errors"
	"strings"
	"testing"
	"time"

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
