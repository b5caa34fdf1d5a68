package configcheck

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"citronspread/model"
	"citronspread/platform"
)

// sound has no findings.
const sound = `{"version":7,
"tenants":[{"name":"hule930","apiKeys":["secret-h1","secret-h2"],"priority":1,"unit":"token_stream","plainTokens":200,"ratePerS":269685,"burst":269685},
{"name":"other","apiKeys":["secret-o1"],"unit":"request","ratePerS":3,"burst":3}],
"routes":[{"name":"chat","hostname":"a.example","prefix":"/","kind":"streaming","timeoutMs":25000,"latencyTargetMs":2500,"gapTargetMs":300,"priority":2,"service":"llm","maxAttempts":2,"resumable":true},
{"name":"desk","hostname":"a.example","prefix":"/desk/","kind":"safe","timeoutMs":1000,"trafficSplit":[{"service":"desk","weight":9},{"service":"llm","weight":1}],"maxAttempts":2}],
"services":[{"name":"llm","engine":{"slots":64,"kvCapacity":129023,"weightSize":230000,"adapterSlots":8,"loadsPerS":3.1,"models":[{"name":"m","weightSize":72700,"adapterMb":66,"loadTimeS":6}]}},{"name":"desk"}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// changed returns sound with texts replaced. Each must occur.
func changed(t *testing.T, oldnew ...string) []byte {
	t.Helper()
	body := sound
	for i := 0; i < len(oldnew); i += 2 {
		if !strings.Contains(body, oldnew[i]) {
			t.Fatalf("%q is not in the configuration", oldnew[i])
		}
		body = strings.Replace(body, oldnew[i], oldnew[i+1], 1)
	}
	return []byte(body)
}

func linesOf[T fmt.Stringer](items []T) (lines []string) {
	for _, item := range items {
		lines = append(lines, item.String())
	}
	return lines
}

// TestFindings guards against a fault that is not reported, against one that is reported without its place, and against
// findings about a sound configuration.
func TestFindings(t *testing.T) {
	tests := []struct {
		name    string
		replace []string
		want    []string
	}{
		{name: "sound"},

		{"no JSON", []string{`{"version"`, `{"version`}, []string{`error: body: invalid JSON at byte 13`}},
		{"rejected workspace", []string{`"priority":1,`, `"priority":-1,`}, []string{`error: tenants[0].priority: workspace 0 "hule930": not from 0 to 100`}},
		{"rejected key", []string{`secret-o1`, `secret-h1`}, []string{`error: tenants[1].apiKeys: workspace 1 "other": a key of workspace 0`}},
		{"rejected route", []string{`"kind":"safe"`, `"kind":"sure"`}, []string{`error: routes[1].kind: route 1 "desk": unknown kind`}},
		{"no version", []string{`"version":7,`, ``}, []string{`warning: version: not above 0, so hosts that start can't get it from other hosts`}},

		{"hidden route", []string{`"prefix":"/desk/"`, `"prefix":"/"`, `"a.example"`, `"A.example"`}, []string{
			`warning: routes[1] "desk": prefix: never matches, hidden by routes[0] "chat" with the same hostname and prefix`,
		}},
		{"no hostname", []string{`"hostname":"a.example","prefix":"/desk/"`, `"prefix":"/desk/"`}, []string{
			`warning: routes[1] "desk": hostname: missing or empty, so only requests that name no host match`,
		}},
		{"hostname with a port", []string{`"a.example"`, `"a.example:443"`}, []string{
			`warning: routes[0] "chat": hostname: never matches, because requests are matched by their hostname without the port`,
		}},
		{"undefined service", []string{`"service":"llm","maxAttempts"`, `"service":"lmm","maxAttempts"`}, []string{`warning: routes[0] "chat": service: service 0 "lmm" is not defined`}},
		{"no service", []string{`"service":"llm","maxAttempts"`, `"maxAttempts"`}, []string{`warning: routes[0] "chat": service: service 0 is not defined`}},
		{"undefined service of a split", []string{`{"service":"llm","weight":1}`, `{"service":"lmm","weight":1}`}, []string{
			`warning: routes[1] "desk": trafficSplit: service 1 "lmm" is not defined`,
		}},
		{"weight 0", []string{`"weight":9`, `"weight":0`}, []string{`warning: routes[1] "desk": trafficSplit: service 0 "desk" has the weight 0 and gets no requests`}},
		{"no weight", []string{`"weight":9`, `"weight":0`, `"weight":1`, `"weight":0`}, []string{
			`warning: routes[1] "desk": trafficSplit: service 0 "desk" has the weight 0 and gets no requests`,
			`warning: routes[1] "desk": trafficSplit: service 1 "llm" gets all requests, because no weight is above 0`,
		}},
		{"negative weight", []string{`"weight":9`, `"weight":-9`}, []string{`warning: routes[1] "desk": trafficSplit: service 0 "desk" has a negative weight`}},
		{"service and split", []string{`"timeoutMs":1000,`, `"timeoutMs":1000,"service":"desk",`}, []string{
			`warning: routes[1] "desk": service: ignored, because the route has a trafficSplit`,
		}},
		{"unused service", []string{`{"name":"desk"}`, `{"name":"desk"},{"name":"spare"}`}, []string{`note: services "spare": no route leads to it`}},
		{"service twice", []string{`{"name":"desk"}`, `{"name":"desk"},{"name":"desk"}`}, []string{
			`warning: services[1] "desk": name: ignored, services[2] has the same name`,
		}},

		{"workspace without keys", []string{`["secret-o1"]`, `[]`}, []string{`warning: tenants[1] "other": apiKeys: no key, so no request belongs to it`}},
		{"burst below a request", []string{`"burst":3}`, `"burst":0.5}`}, []string{
			`warning: tenants[1] "other": burst: smaller than any request, so requests are served from a full bucket only`,
		}},
		{"no burst", []string{`"ratePerS":269685,"burst":269685`, `"ratePerS":269685`}, []string{
			`warning: tenants[0] "hule930": plainTokens: larger than burst, so requests that state no tokens are served from a full bucket only`,
			`warning: tenants[0] "hule930": burst: smaller than any request, so requests are served from a full bucket only`,
		}},
		{"burst below a large request", []string{`"burst":269685`, `"burst":5999`}, []string{
			`note: tenants[0] "hule930": burst: smaller than requests of up to 6000 tokens, which are served from a full bucket only`,
		}},
		{"plain tokens above the burst", []string{`"plainTokens":200`, `"plainTokens":300000`}, []string{
			`warning: tenants[0] "hule930": plainTokens: larger than burst, so requests that state no tokens are served from a full bucket only`,
		}},
		{"plain tokens beside a cap on requests", []string{`"unit":"request"`, `"unit":"request","plainTokens":200`}, nil},
		{"burst without a rate", []string{`"ratePerS":3,`, ``}, []string{
			`warning: tenants[1] "other": burst: has no effect, because a ratePerS that is missing or 0 sets no limit`,
		}},
		{"low priority of a workspace", []string{`"priority":1,`, `"priority":10,`}, []string{
			`note: tenants[0] "hule930": priority: from 10 on all requests rank alike, and backend servers get 9`,
		}},
		{"priority of all routes", []string{`"priority":1,`, `"priority":2,`, `"timeoutMs":1000`, `"timeoutMs":1000,"priority":2`}, []string{
			`note: tenants[0] "hule930": priority: changes nothing, because all routes have the same`,
		}},
		{"priority of one route", []string{`"priority":1,`, `"priority":2,`}, nil},
		{"negative priority of a route", []string{`"priority":2,`, `"priority":-1,`}, []string{
			`warning: routes[0] "chat": priority: below 0, so its requests go before all others, and backend servers get no valid priority`,
		}},
		{"low priority of a route", []string{`"priority":2,`, `"priority":10,`}, []string{
			`note: routes[0] "chat": priority: from 10 on all requests rank alike, and backend servers get 9`,
		}},

		{"no attempts", []string{`"maxAttempts":2,"resumable"`, `"maxAttempts":0,"resumable"`}, []string{
			`warning: routes[0] "chat": maxAttempts: counts as 1, because it is missing or below 1`,
		}},
		{"attempts of an unsafe route", []string{`"kind":"safe"`, `"kind":"unsafe"`}, []string{
			`note: routes[1] "desk": maxAttempts: has no effect, because its requests run at most once`,
		}},
		{"attempts of streams that can't be resumed", []string{`"resumable":true`, `"resumable":false`}, []string{
			`note: routes[0] "chat": maxAttempts: has no effect, because its requests run at most once`,
		}},
		{"resumable without streams", []string{`"kind":"safe"`, `"kind":"safe","resumable":true`}, []string{
			`note: routes[1] "desk": resumable: has no effect, because the route has no streams`,
		}},
		{"anonymous without workspaces", []string{`"tenants"`, `"none"`, `"kind":"safe"`, `"kind":"safe","anonymous":true`}, []string{
			`note: routes[1] "desk": anonymous: has no effect without workspaces`,
		}},
		{"latency target above the timeout", []string{`"latencyTargetMs":2500`, `"latencyTargetMs":25001`}, []string{`warning: routes[0] "chat": latencyTargetMs: longer than timeoutMs`}},
		{"gap target above the timeout", []string{`"gapTargetMs":300`, `"gapTargetMs":30000`}, []string{`warning: routes[0] "chat": gapTargetMs: longer than timeoutMs`}},
		{"negative timeout", []string{`"timeoutMs":1000`, `"timeoutMs":-1`}, []string{`warning: routes[1] "desk": timeoutMs: not a time above 0, so the default of hosts applies`}},

		{"model above the memory", []string{`"weightSize":72700`, `"weightSize":230001`}, []string{
			`warning: services "llm": models "m": weightSize: larger than that of its engine, so it can't be loaded`,
		}},
		{"no slots for adapters", []string{`"adapterSlots":8`, `"adapterSlots":0`}, []string{
			`warning: services "llm": models "m": adapterMb: its adapters can't be loaded, because adapterSlots is below 1`,
		}},
		{"memory for tokens below 1", []string{`"kvCapacity":129023`, `"kvCapacity":-1`}, []string{`warning: services[0] "llm": kvCapacity: below 1, so it limits nothing`}},
		{"most severe first", []string{`"priority":1,`, `"priority":10,`, `"maxAttempts":2,"resumable"`, `"resumable"`}, []string{
			`warning: routes[0] "chat": maxAttempts: counts as 1, because it is missing or below 1`,
			`note: tenants[0] "hule930": priority: from 10 on all requests rank alike, and backend servers get 9`,
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := linesOf(Check(changed(t, tt.replace...), nil).Findings); !slices.Equal(got, tt.want) {
				t.Errorf("got %s\nwant %s", strings.Join(got, "\n"), strings.Join(tt.want, "\n"))
			}
		})
	}
}

// TestVersionInForce guards against a version that hosts would ignore without an error.
func TestVersionInForce(t *testing.T) {
	tests := []struct {
		name    string
		replace []string
		want    []string
	}{
		{name: "the same", want: nil},
		{"higher", []string{`"version":7`, `"version":8`}, nil},
		{"lower", []string{`"version":7`, `"version":6`}, []string{`error: version: 6 is lower than the version in force, 7, so hosts would ignore it`}},
		{"equal with other content", []string{`secret-o1`, `secret-o2`}, []string{`error: version: 7 is also the version in force, whose content differs, so hosts would ignore it`}},
		{"no workspaces left", []string{`"version":7`, `"version":8`, `"tenants"`, `"none"`}, []string{
			`warning: tenants: the last workspace is removed, so callers need no keys any more`,
		}},
	}
	inForce := decoded(t, sound)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := linesOf(Check(changed(t, tt.replace...), &inForce).Findings); !slices.Equal(got, tt.want) {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

func decoded(t *testing.T, body string) model.DesiredState {
	t.Helper()
	state, err := platform.DecodeConfiguration([]byte(body))
	if err != nil {
		t.Fatal(err)
	}
	return state
}

// TestDifferences guards against a change that is not shown, and against one that is shown without its entry.
func TestDifferences(t *testing.T) {
	tests := []struct {
		name    string
		replace []string
		want    []string
	}{
		{name: "none"},
		{"version", []string{`"version":7`, `"version":8`}, []string{`changed: version: 7 -> 8`}},
		{"keys", []string{`["secret-h1","secret-h2"]`, `["secret-h3","secret-h2","secret-h4"]`}, []string{`changed: tenants[0] "hule930": keys added: 2, keys removed: 1`}},
		{"key moved", []string{`"secret-h1",`, ``, `["secret-o1"]`, `["secret-h1","secret-o1"]`}, []string{
			`changed: tenants[0] "hule930": keys removed: 1`, `changed: tenants[1] "other": keys added: 1`,
		}},
		{"cap", []string{`"ratePerS":269685,"burst":269685`, `"ratePerS":1000.5,"burst":0`, `"unit":"request"`, `"unit":"token_stream","plainTokens":5`}, []string{
			`changed: tenants[0] "hule930": ratePerS 269685 -> 1000.5, burst 269685 -> 0`, `changed: tenants[1] "other": unit, plainTokens 0 -> 5`,
		}},
		{"priority", []string{`"priority":1,`, ``}, []string{`changed: tenants[0] "hule930": priority 1 -> of the route`}},
		{"workspace renamed", []string{`"name":"other"`, `"name":"third"`}, []string{
			`removed: tenants[1] "other": keys removed: 1`, `added: tenants[1] "third": keys added: 1`,
		}},
		{"route", []string{
			`"timeoutMs":1000`, `"timeoutMs":29.5,"anonymous":true,"priority":3`, `"prefix":"/desk/","kind":"safe"`, `"prefix":"/table/","kind":"unsafe"`, `"weight":9`, `"weight":8`,
		}, []string{
			`changed: routes[1] "desk": prefix, kind, timeoutMs 1000 -> 29.5, priority 0 -> 3, service or trafficSplit, anonymous false -> true`,
		}},
		{"route renamed", []string{`"name":"chat"`, `"name":"talk"`}, []string{`removed: routes[0] "chat"`, `added: routes[0] "talk"`}},
		{"routes of one name", []string{`"name":"chat"`, `"name":"desk"`}, []string{
			`removed: routes[0] "chat"`,
			`changed: routes[0] "desk": prefix, kind, timeoutMs 1000 -> 25000, latencyTargetMs 0 -> 2500, gapTargetMs 0 -> 300, priority 0 -> 2, service or trafficSplit, resumable false -> true`,
			`added: routes[1] "desk"`,
		}},
		{"engine", []string{`"slots":64,"kvCapacity":129023`, `"slots":32,"kvCapacity":60000`}, []string{`changed: services "llm": slots 64 -> 32, kvCapacity 129023 -> 60000`}},
		{"model", []string{`"loadTimeS":6`, `"loadTimeS":7.5`}, []string{`changed: services "llm": models "m": loadTimeS 6 -> 7.5`}},
		{"models", []string{`{"name":"m",`, `{"name":"n",`}, []string{`removed: services "llm": models "m"`, `added: services "llm": models "n"`}},
		{"service", []string{`{"name":"desk"}`, `{"name":"shop"}`}, []string{`removed: services "desk"`, `added: services "shop"`}},
		{"service gets an engine", []string{`{"name":"desk"}`, `{"name":"desk","engine":{}}`}, []string{`changed: services "desk": engine`}},
		{"limits", []string{`"maxBodyBytes":4194304,"headerTimeoutMs":3000`, `"maxBodyBytes":1,"headerTimeoutMs":2000`}, []string{
			`changed: limits: maxBodyBytes 4194304 -> 1, headerTimeoutMs 3000 -> 2000`,
		}},
	}
	inForce := decoded(t, sound)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := linesOf(Check(changed(t, tt.replace...), &inForce).Differences)
			slices.Sort(got)
			slices.Sort(tt.want)
			if !slices.Equal(got, tt.want) {
				t.Errorf("got %s\nwant %s", strings.Join(got, "\n"), strings.Join(tt.want, "\n"))
			}
		})
	}
}

// TestKeysAreNotShown guards against a key in a finding or difference. The keys are in all names, those of the checked
// configuration and of the one in force.
func TestKeysAreNotShown(t *testing.T) {
	const keyed = `{"version":VERSION,"tenants":[{"name":"w-KEY-x","apiKeys":["KEY"],"priority":20,"ratePerS":1},{"name":"w-OTHER","priority":11,"ratePerS":RATE}],
"routes":[{"name":"KEY","hostname":"KEY","prefix":"/KEY/","kind":"safe","priority":-1,"service":"s-KEY"},{"name":"OTHER","hostname":"KEY","prefix":"/KEY/","kind":"KIND","service":"none-OTHER"}],
"services":[{"name":"s-OTHER","engine":{"weightSize":1,"models":[{"name":"m-OTHER","weightSize":RATE},{"name":"KEY","weightSize":5},{"name":"KEY","weightSize":5}]}},{"name":"KEY"},{"name":"OTHER"},{"name":"OTHER"}]}`
	fill := func(version, key, other, kind, rate string) string {
		return strings.NewReplacer("VERSION", version, "KEY", key, "OTHER", other, "KIND", kind, "RATE", rate).Replace(keyed)
	}
	inForce := decoded(t, fill("7", "secret-old", "secret-new", "safe", "2"))
	inForce.Workspaces[0].Keys = append(inForce.Workspaces[0].Keys, `secret\"quoted`)
	tests := []struct {
		name         string
		body         string
		wantFindings int // at least
		wantChanges  int // at least
	}{
		{"both", fill("6", "secret-new", "secret-old", "safe", "3"), 10, 10},
		{"rejected route", fill("8", "secret-new", "secret-old", "secret-new", "3"), 1, 0},
		{"rejected with a key in force in the name", `{"version":8,"tenants":[{"name":"x-secret-old","priority":-1}]}`, 1, 0},
		{"rejected with a key in force in the quoted name", `{"version":8,"tenants":[{"name":"x-secret\\\"quoted","priority":-1}]}`, 1, 0},
		{"key as a kind", `{"version":8,"routes":[{"name":"secret-old","kind":"secret-old"}]}`, 1, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			report := Check([]byte(tt.body), &inForce)
			if len(report.Findings) < tt.wantFindings || len(report.Differences) < tt.wantChanges {
				t.Errorf("got %d findings and %d differences, want at least %d and %d", len(report.Findings), len(report.Differences), tt.wantFindings, tt.wantChanges)
			}
			text := fmt.Sprintf("%v %+v %#v", linesOf(report.Findings), report, report)
			if strings.Contains(text, "secret") {
				t.Errorf("got a key in %s", text)
			}
		})
	}
}

// FuzzCheck guards against a panic, and against a check that disagrees with hosts about what they reject.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(sound))
	f.Add([]byte(`{"routes":[{"prefix":"/","kind":"safe","trafficSplit":[{"weight":0}]}],"services":[{"engine":{"models":[{}]}}],"tenants":[{"name":"a","apiKeys":["b"]}]}`))
	inForce, err := platform.DecodeConfiguration([]byte(sound))
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		_, err := platform.DecodeConfiguration(body)
		report := Check(body, nil)
		if got := report.Count(Error) > 0; got != (err != nil) {
			t.Errorf("got an error: %t, want %t: %v", got, err != nil, err)
		}
		linesOf(Check(body, &inForce).Differences)
	})
}
