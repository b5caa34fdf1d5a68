package workspace

import (
	"errors"
	"math"
	"strings"
	"testing"

	"citronspread/model"
)

// TestCheck guards against an invalid workspace that is accepted, and against an error that names another field or
// workspace, or a key.
func TestCheck(t *testing.T) {
	tests := []struct {
		name       string
		workspaces []model.Workspace
		position   int
		workspace  string
		field      Field // empty if the list is valid
	}{
		{name: "none"},
		{name: "valid", workspaces: testWorkspaces},
		{name: "least urgent", workspaces: []model.Workspace{{Name: "a", Priority: priority(MaxPriority)}}},
		{name: "spaces and letters of other languages", workspaces: []model.Workspace{{Name: "Zürich West", Keys: []string{"secret 1"}}}},
		{name: "key in two workspaces", workspaces: []model.Workspace{{Name: "a", Keys: []string{"secret-1"}}, {Name: "b", Keys: []string{"secret-2", "secret-1"}}}, position: 1, workspace: "b", field: FieldKeys},
		{name: "key twice", workspaces: []model.Workspace{{Name: "a", Keys: []string{"secret-1", "secret-1"}}}, workspace: "a", field: FieldKeys},
		{name: "empty key", workspaces: []model.Workspace{{Name: "a", Keys: []string{""}}}, workspace: "a", field: FieldKeys},
		{name: "blank key", workspaces: []model.Workspace{{Name: "a", Keys: []string{" "}}}, workspace: "a", field: FieldKeys},
		{name: "key with a line break", workspaces: []model.Workspace{{Name: "a", Keys: []string{"secret-\n1"}}}, workspace: "a", field: FieldKeys},
		{name: "empty name", workspaces: []model.Workspace{{Name: "a"}, {}}, position: 1, field: FieldName},
		{name: "name twice", workspaces: []model.Workspace{{Name: "a"}, {Name: "a"}}, position: 1, field: FieldName},
		{name: "name with a line break", workspaces: []model.Workspace{{Name: "a\r\nHold: 1"}}, field: FieldName},
		{name: "name that is a later key", workspaces: []model.Workspace{{Name: "secret-1"}, {Name: "b", Keys: []string{"secret-1"}}}, field: FieldName},
		{name: "negative priority", workspaces: []model.Workspace{{Name: "a", Priority: priority(-1)}}, workspace: "a", field: FieldPriority},
		{name: "huge priority", workspaces: []model.Workspace{{Name: "a", Priority: priority(math.MaxInt)}}, workspace: "a", field: FieldPriority},
		{name: "negative rate", workspaces: []model.Workspace{{Name: "a", Cap: model.UsageCap{PerSecond: -1, Unit: model.CapTokens}}}, workspace: "a", field: FieldPerSecond},
		{name: "infinite rate", workspaces: []model.Workspace{{Name: "a", Cap: model.UsageCap{PerSecond: math.Inf(1), Unit: model.CapTokens}}}, workspace: "a", field: FieldPerSecond},
		{name: "rate that is no number", workspaces: []model.Workspace{{Name: "a", Cap: model.UsageCap{PerSecond: math.NaN(), Unit: model.CapTokens}}}, workspace: "a", field: FieldPerSecond},
		{name: "negative burst", workspaces: []model.Workspace{{Name: "a", Cap: model.UsageCap{Burst: -0.5, Unit: model.CapTokens}}}, workspace: "a", field: FieldBurst},
		{name: "infinite burst", workspaces: []model.Workspace{{Name: "a", Cap: model.UsageCap{Burst: math.Inf(1), Unit: model.CapTokens}}}, workspace: "a", field: FieldBurst},
		{name: "negative plain tokens", workspaces: []model.Workspace{{Name: "a", Cap: model.UsageCap{PlainTokens: -1, Unit: model.CapTokens}}}, workspace: "a", field: FieldPlainTokens},
		{name: "huge plain tokens", workspaces: []model.Workspace{{Name: "a", Cap: model.UsageCap{PlainTokens: MaxTokens + 1, Unit: model.CapTokens}}}, workspace: "a", field: FieldPlainTokens},
		{name: "unknown unit", workspaces: []model.Workspace{{Name: "a", Cap: model.UsageCap{PerSecond: 1, Unit: "furlong"}}}, workspace: "a", field: FieldUnit},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := Check(tt.workspaces)
			if tt.field == "" {
				if err != nil {
					t.Errorf("got %v, want nil", err)
				}
				return
			}
			var got *InvalidError
			if !errors.As(err, &got) {
				t.Fatalf("got %v, want an *InvalidError", err)
			}
			if got.Position != tt.position || got.Workspace != tt.workspace || got.Field != tt.field {
				t.Errorf("got %+v, want position %d, workspace %q and field %s", got, tt.position, tt.workspace, tt.field)
			}
			if strings.Contains(err.Error(), "secret") {
				t.Errorf("got a key in %q", err)
			}
		})
	}
}
