package peer

import (
	"testing"
	"time"

	"citronspread/model"
)

// earlierStatement is a statement of a backend server as hosts of earlier builds read it.
type earlierStatement struct {
	Backend   string
	PerSecond float64
	Stated    bool
	At        time.Time
}

// TestStatementsOfBackends guards against statements that change on their way: a time that is not known must not become one, or a
// backend server with a limit would count as leaving, and one that is leaving as without a limit.
func TestStatementsOfBackends(t *testing.T) {
	at := time.Unix(1_000, 0)
	tests := []struct {
		name      string
		statement model.BackendStatement
	}{
		{"limit", model.BackendStatement{Backend: "a", PerSecond: 2.5, Stated: true, At: at}},
		{"leaving", model.BackendStatement{Backend: "a", LeavingAt: at, StatedTo: "entry-1", Born: 7}},
		{"limit and leaving", model.BackendStatement{Backend: "a", PerSecond: 2.5, Stated: true, At: at, LeavingAt: at, StatedTo: "entry-1", Born: 7}},
	}
	encoding, err := newCodec()
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			encoded, err := encoding.Marshal(&LimitsRequest{Limits: []model.BackendStatement{tt.statement}, SentAt: at})
			if err != nil {
				t.Fatal(err)
			}
			var request LimitsRequest
			if err := encoding.Unmarshal(encoded, &request); err != nil {
				t.Fatal(err)
			}
			got := request.Limits[0]
			if !got.At.Equal(tt.statement.At) || !got.LeavingAt.Equal(tt.statement.LeavingAt) || got.At.IsZero() != tt.statement.At.IsZero() || got.LeavingAt.IsZero() != tt.statement.LeavingAt.IsZero() {
				t.Errorf("got times %v and %v, want %v and %v", got.At, got.LeavingAt, tt.statement.At, tt.statement.LeavingAt)
			}
			if got.PerSecond != tt.statement.PerSecond || got.Stated != tt.statement.Stated || got.Born != tt.statement.Born || got.StatedTo != tt.statement.StatedTo {
				t.Errorf("got %+v, want %+v", got, tt.statement)
			}
			var earlier struct{ Limits []earlierStatement }
			if err := encoding.Unmarshal(encoded, &earlier); err != nil {
				t.Fatal(err)
			}
			if e := earlier.Limits[0]; e.Stated != tt.statement.Stated || e.At.After(at) || e.At.IsZero() != tt.statement.At.IsZero() {
				t.Errorf("got %+v at an earlier build, want the limit alone", e)
			}
		})
	}
}
