package ledger

import (
	"slices"
	"testing"

	"citronspread/model"
)

func TestMergeSources(t *testing.T) {
	tests := []struct {
		name        string
		stored, own []model.Source
		records     []RecordGeneration
		want        []model.Source
	}{
		{"newer wins", []model.Source{{Record: "a", Generation: 1, Replicas: 3}}, []model.Source{{Record: "a", Generation: 2, Replicas: 1}}, nil, []model.Source{{Record: "a", Generation: 2, Replicas: 1}}},
		{"older loses", []model.Source{{Record: "a", Generation: 2, Replicas: 3}}, []model.Source{{Record: "a", Generation: 1, Replicas: 1}}, nil, []model.Source{{Record: "a", Generation: 2, Replicas: 3}}},
		{"both retained, sorted", []model.Source{{Record: "b", Generation: 1, Replicas: 3}}, []model.Source{{Record: "a", Generation: 1, Replicas: 1}}, nil, []model.Source{{Record: "a", Generation: 1, Replicas: 1}, {Record: "b", Generation: 1, Replicas: 3}}},
		{"newer generation without the model", []model.Source{{Record: "a", Generation: 1, Replicas: 3}}, nil, []RecordGeneration{{"a", 2}}, []model.Source{{Record: "a", Generation: 2}}},
		{"older generation without the model", []model.Source{{Record: "a", Generation: 3, Replicas: 3}}, nil, []RecordGeneration{{"a", 2}}, []model.Source{{Record: "a", Generation: 3, Replicas: 3}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := mergeSources(tt.stored, tt.own, tt.records); !slices.Equal(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestSurplusSlots(t *testing.T) {
	slots := []model.Slot{{ID: 0, State: model.SlotAllotted}, {ID: 1, State: model.SlotBound}, {ID: 2, State: model.SlotFree}, {ID: 3, State: model.SlotBound}}
	tests := []struct {
		decided int
		want    []int
	}{{4, nil}, {3, nil}, {2, []int{0}}, {1, []int{3, 0}}, {0, []int{1, 3, 0}}}
	for _, tt := range tests {
		if got := surplusSlots(model.ModelRecord{Slots: slots}, tt.decided); !slices.Equal(got, tt.want) {
			t.Errorf("decided %d: got %v, want %v", tt.decided, got, tt.want)
		}
	}
}
