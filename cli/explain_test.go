package cli

import (
	"strings"
	"testing"
)

const explainLog = `  -1.0 front-1 time=2026-10-10T05:44:09Z level=info event=order Host=front-2 Backend=i-1 Kind=Load Model=m0
time=2026-10-10T05:44:10Z level=info event=granted Host=front-1 Request=q1 Backend=i-1 Model=m0
time=2026-10-10T05:44:10.5Z level=info event=sent Host=front-1 Request=q2 Backend=i-1 Model=m0
time=2026-10-10T05:44:11Z level=warn event="not served" Host=front-1 Request=q1 Status=503 error="a \"quoted\" reason"
time=2026-10-10T05:44:11Z level=info event="backend server gone" Host=front-1 Backend=i-9
time=2026-10-10T05:43:00Z level=info event=order Host=front-2 Backend=i-1 Kind=Unload Model=m0
cut line without a ti
time=yesterday event=sent Request=q1
`

// TestExplain checks which lines are selected. The log has a line with a collector's prefix, lines of another request,
// of another backend server and of an earlier time, a truncated line and a line with an invalid time.
func TestExplain(t *testing.T) {
	lines, bad := parseLog(strings.NewReader(explainLog))
	if bad != 2 {
		t.Errorf("got %d unreadable lines, want 2", bad)
	}
	got := explain(lines, "q1")
	want := []string{"order:", "granted:", "not served:"}
	if len(got) != len(want) {
		t.Fatalf("got %d lines %q, want %d", len(got), got, len(want))
	}
	for i := range want {
		if !strings.Contains(got[i], want[i]) {
			t.Errorf("got line %d %q, want %q", i, got[i], want[i])
		}
	}
	if got := explain(lines, "q3"); got != nil {
		t.Errorf("got %q for an unknown request, want nothing", got)
	}
}

// TestExplainLimit guards against a refusal for a limit without the lines that say what the backend server has stated, and
// what its leader has allowed.
func TestExplainLimit(t *testing.T) {
	lines, _ := parseLog(strings.NewReader(`time=2026-10-10T05:44:09Z level=info event="limit stated" Host=front-2 Backend=i-2 PerSecond=1.5 Request=q1
time=2026-10-10T05:44:10Z level=info event=allowance Host=front-1 Backend=i-2 Leader=10.1.0.3:7381 Count=0 Of=2 RetryAfter=3s
time=2026-10-10T05:44:10Z level=info event=allowance Host=front-1 Backend=i-3 Leader=10.1.0.3:7381 Count=1 Of=1
time=2026-10-10T05:44:11Z level=warn event="not served" Host=front-1 Request=q9 Status=503 Limited=i-1,i-2 error="routing: refused: backend_limit"
`))
	got := explain(lines, "q9")
	if len(got) != 3 || !strings.Contains(got[0], "limit stated") || !strings.Contains(got[1], "RetryAfter=3s") {
		t.Errorf("got %q, want the statement and the allowance of i-2 before the refusal", got)
	}
}

// TestExplainStatements guards against a request that went elsewhere, or was refused, without the lines that say which statement
// of a backend server was the cause and how old it is.
func TestExplainStatements(t *testing.T) {
	lines, _ := parseLog(strings.NewReader(`time=2026-10-10T05:44:08Z level=info event="leaving stated" Host=front-2 Backend=i-2 Born=7 Request=q1
time=2026-10-10T05:44:08Z level=info event="backend server leaving" Host=front-1 Backend=i-2 StatedTo=front-2 StatedFor=120ms
time=2026-10-10T05:44:09Z level=info event="back-off stated" Host=front-1 Backend=10.0.0.1:80 Stated=12s For=12s Request=q2
time=2026-10-10T05:44:09Z level=info event="leaving stated" Host=front-2 Backend=i-4 Born=7 Request=q1
time=2026-10-10T05:44:11Z level=info event=granted Host=front-1 Request=q9 Backend=i-3 Withheld=i-2:leaving:3s,10.0.0.1:80:back-off:2s
`))
	got := explain(lines, "q9")
	if len(got) != 4 || !strings.Contains(got[0], "leaving stated") || !strings.Contains(got[2], "back-off stated") || !strings.Contains(got[3], "i-2:leaving:3s") {
		t.Errorf("got %q, want the statements of the two backend servers before the grant that names them", got)
	}
}

// TestExplainUnauthorized guards against a refusal with 401 without the lines that say which keys its host had.
func TestExplainUnauthorized(t *testing.T) {
	lines, _ := parseLog(strings.NewReader(`time=2026-10-10T05:44:09Z level=info event="workspaces changed" Host=front-1 Version=7 Added=0 Removed=0 KeysRemoved=1
time=2026-10-10T05:44:09Z level=info event="workspaces changed" Host=front-2 Version=7 Added=0 Removed=0 KeysRemoved=1
time=2026-10-10T05:44:10Z level=error event="desired state not valid, the last one stays in force" Host=front-1 Revision=9 error="platform: op/config: tenants[0].apiKeys: workspace 0 \"a\": a key is empty"
time=2026-10-10T05:44:11Z level=info event=unauthorized Host=front-1 Request=q9 Hostname=h.example Path=/x/ Version=7 Credentials=key
`))
	got := explain(lines, "q9")
	want := []string{"workspaces changed: Version=7", "desired state not valid", "unauthorized: Hostname=h.example"}
	if len(got) != len(want) {
		t.Fatalf("got %d lines %q, want the refusal and what its host logged before it", len(got), got)
	}
	for i := range want {
		if !strings.Contains(got[i], want[i]) {
			t.Errorf("got line %d %q, want %q", i, got[i], want[i])
		}
	}
}

// TestExplainTurn guards against a refusal behind another workspace without the lines that show which ones were served.
func TestExplainTurn(t *testing.T) {
	lines, _ := parseLog(strings.NewReader(`time=2026-10-10T05:44:07Z level=info event=granted Host=front-1 Request=q0 Backend=i-1 Model=m0 Workspace=w2 Counter=100 LowestCounter=100
time=2026-10-10T05:44:10Z level=info event=granted Host=front-1 Request=q1 Backend=i-1 Model=m0 Workspace=w2 Counter=300 LowestCounter=300
time=2026-10-10T05:44:10Z level=info event=granted Host=front-1 Request=q2 Backend=i-1 Model=m1 Workspace=w2 Counter=300 LowestCounter=300
time=2026-10-10T05:44:10Z level=info event=granted Host=front-2 Request=q3 Backend=i-1 Model=m0 Workspace=w2 Counter=300 LowestCounter=300
time=2026-10-10T05:44:11Z level=info event="turn refused" Host=front-1 Request=q9 Model=m0 Reason=deadline_exceeded Workspace=w1 Counter=5200 LowestCounter=400 Ahead=17
time=2026-10-10T05:44:11Z level=warn event="not served" Host=front-1 Request=q9 Status=503
time=2026-10-10T05:44:12Z level=warn event="not served" Host=front-1 Request=q8 Status=503 Model=m0
`))
	got := explain(lines, "q9")
	if len(got) != 3 || !strings.Contains(got[0], "Workspace=w2") || !strings.Contains(got[1], "Ahead=17") {
		t.Errorf("got %q, want the grant of the other workspace before the refusal", got)
	}
	if got := explain(lines, "q8"); len(got) != 1 {
		t.Errorf("got %q for a request that was not refused for its turn, want its line only", got)
	}
}

// TestExplainCap guards against a refusal for a usage cap without the lines that say who divides the cap.
func TestExplainCap(t *testing.T) {
	lines, _ := parseLog(strings.NewReader(`time=2026-10-10T05:44:09Z level=info event="leading cap" Host=front-2 Workspace=hule
time=2026-10-10T05:44:09Z level=info event="zone on its own share" Host=front-1 Workspace=other Zone=a
time=2026-10-10T05:44:10Z level=info event="zone on its own share" Host=front-3 Workspace=hule Zone=a PerSecond=900
time=2026-10-10T05:44:11Z level=info event="cap refused" Host=front-1 Request=q9 Workspace=hule Tokens=1200 RetryAfter=1.5s
time=2026-10-10T05:44:11Z level=warn event="not served" Host=front-1 Request=q9 Status=429
`))
	got := explain(lines, "q9")
	if len(got) != 4 || !strings.Contains(got[0], "leading cap") || !strings.Contains(got[1], "PerSecond=900") {
		t.Errorf("got %q, want the leader and the own share of the workspace before the refusal", got)
	}
}
