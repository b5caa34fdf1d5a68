package cli

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"citronspread/platform"
)

const desiredState = `{"version":7,"tenants":[{"name":"hule930","apiKeys":["secret-1"],"priority":1}],
"routes":[{"name":"desk","hostname":"a.example","prefix":"/","kind":"safe","service":"desk","maxAttempts":2}],"services":[{"name":"desk"}]}`

// TestConfigCheck checks exit codes and output.
func TestConfigCheck(t *testing.T) {
	t.Setenv(platform.SettingsVariable, "")
	edit := func(name string, oldnew ...string) string {
		return writeFile(t, name, strings.NewReplacer(oldnew...).Replace(desiredState))
	}
	valid := edit("valid.json")
	next := edit("next.json", `"version":7`, `"version":8`, `["secret-1"]`, `["secret-2","secret-3"]`)
	older := edit("older.json", `"version":7`, `"version":6`)
	warned := edit("warned.json", `"maxAttempts":2`, `"maxAttempts":0`)
	noted := edit("noted.json", `"priority":1`, `"priority":0`)
	invalid := edit("invalid.json", `"priority":1`, `"priority":-1`)
	runAll(t, []invocation{
		{[]string{"config", "check", valid}, ExitSuccess, "valid.json: valid desired state of version 7, warnings: 0, notes: 0\n"},
		{[]string{"config", "check", warned}, ExitSuccess, `warned.json: warning: routes[0] "desk": maxAttempts: counts as 1`},
		{[]string{"config", "check", noted}, ExitSuccess, `noted.json: note: tenants[0] "hule930": priority: changes nothing`},
		{[]string{"config", "check", invalid}, ExitUsage, `invalid.json: error: tenants[0].priority: workspace 0 "hule930": not from 0 to 100`},
		{[]string{"config", "check", "missing.json"}, ExitUsage, "missing.json"},
		{[]string{"config", "check"}, ExitUsage, "file"},
		{[]string{"config"}, ExitUsage, "must select a subcommand"},
		{[]string{"config", "check", next, "--against", valid}, ExitSuccess, `next.json: changed: tenants[0] "hule930": keys added: 2, keys removed: 1`},
		{[]string{"config", "check", next, "--against", valid}, ExitSuccess, "valid desired state of version 8, warnings: 0, notes: 0, differences: 2\n"},
		{[]string{"config", "check", older, "--against", valid}, ExitUsage, "error: version: 6 is lower than the version in force, 7"},
		{[]string{"config", "check", next, "--against", invalid}, ExitUsage, "invalid.json: hosts would not apply it because of tenants[0].priority"},
		{[]string{"config", "check", next, "--against", "missing.json"}, ExitUsage, "missing.json"},
		{[]string{"config", "check", next, "--against", valid, "--against-store"}, ExitUsage, "exclude each other"},
		{[]string{"config", "check", next, "--against-store"}, ExitUsage, "needs --settings or CITRONSPREAD_CONFIG"},
	})
}

// TestConfigCheckAgainstStore guards against a comparison with anything but what the store that the settings name contains.
func TestConfigCheckAgainstStore(t *testing.T) {
	stored := ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet || r.URL.Path != "/-/kv-key" || r.URL.Query().Get("key") != "op/config" || stored == "" {
			http.NotFound(w, r)
			return
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"key": "op/config", "value": []byte(stored), "revision": 3})
	}))
	defer server.Close()
	settings := func(store string) string {
		return writeFile(t, "node.conf", "nodeName=n\nzone=z\nlisten.front=127.0.0.1:1\nlisten.ready=127.0.0.1:2\nip=127.0.0.1\ninnerPortRange=3,4\nplatform.address="+store+
			"\nbounds.graceS=10\nbounds.leaseMs=500\nbounds.retryBudgetRatio=0.1\nbounds.retrySlack=3\nbounds.ceilingWindowS=10\nbounds.ceilingOverage=1.1\n")
	}
	address := strings.TrimPrefix(server.URL, "http://")
	next := writeFile(t, "next.json", strings.Replace(desiredState, `"version":7`, `"version":8`, 1))
	args := []string{"config", "check", next, "--against-store", "--settings", settings(address)}

	runAll(t, []invocation{{args, ExitSuccess, "next.json: the store has no op/config to compare with\n"}})
	stored = desiredState
	runAll(t, []invocation{{args, ExitSuccess, "next.json: changed: version: 7 -> 8\n"}})
	stored = strings.Replace(desiredState, `"version":7`, `"version":9`, 1)
	runAll(t, []invocation{{args, ExitUsage, "error: version: 8 is lower than the version in force, 9"}})
	stored = strings.Replace(desiredState, `"kind":"safe"`, `"kind":"secret-1"`, 1)
	runAll(t, []invocation{{args, ExitFailure, "hosts reject op/config in the store because of routes[0].kind"}})
	runAll(t, []invocation{
		{[]string{"config", "check", next, "--against-store", "--settings", settings("127.0.0.1:1")}, ExitUnavailable, "unavailable"},
		{[]string{"config", "check", next, "--against-store", "--settings", "missing.conf"}, ExitUsage, "missing.conf"},
	})
}

// TestConfigCheckShowsNoKey guards against a key in the output, also if a key is a name.
func TestConfigCheckShowsNoKey(t *testing.T) {
	keyed := strings.NewReplacer(`"name":"desk"`, `"name":"secret-1"`, `"service":"desk"`, `"service":"x-secret-1"`, `hule930`, `w-secret-1`).Replace(desiredState)
	before := writeFile(t, "before.json", keyed)
	after := writeFile(t, "after.json", strings.NewReplacer(`["secret-1"]`, `["secret-2"]`, `"version":7`, `"version":6`, `"priority":1`, `"priority":20`, `"maxAttempts":2`, `"maxAttempts":0`).Replace(keyed))
	broken := writeFile(t, "broken.json", strings.Replace(keyed, `"safe"`, `"secret-1"`, 1))
	for _, args := range [][]string{
		{before}, {after, "--against", before}, {before, "--against", after}, {broken}, {before, "--against", broken}, {broken, "--against", before},
	} {
		var output bytes.Buffer
		Run(append([]string{"config", "check"}, args...), &output, &output)
		if got := output.String(); got == "" || strings.Contains(got, "secret") {
			t.Errorf("%q: got %q, want output without a key", args[1:], got)
		}
	}
}
