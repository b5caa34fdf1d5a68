package record

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"citronspread/model"
	"citronspread/yamlfile"
)

const version1 = `SchemaVersion: 1
Name: scribe
Service: link-scribe
Model: scribe-7b
Version: 1.10
MemoryMB: 8000
Replicas: 2
Priority: High
Adapters: [plating, shipping]
`

const version2 = `SchemaVersion: 2
Name: guides
Service: assist-llm
Models:
  - Model: guide-7b
    Version: v3
    Memory: 8GB
    Priority: 90
    Replicas: {Decided: 3, Warm: 1}
  - Model: scribe-7b
    Version: 1.10
    Memory: 9GB
    Priority: 10
    Adapters: [gates]
    Replicas:
      Decided: 1
`

func TestParse(t *testing.T) {
	scribe := model.ModelKey{Model: "scribe-7b", Version: "1.10"}
	tests := []struct {
		name, body string
		want       model.Declaration
	}{
		{"version 1", version1, model.Declaration{Record: "scribe", Service: "link-scribe", Models: []model.ModelDeclaration{
			{Key: scribe, Adapters: []string{"plating", "shipping"}, Bytes: 8_000_000_000, Replicas: 2, Priority: 80},
		}}},
		{"version 2", version2, model.Declaration{Record: "guides", Service: "assist-llm", Models: []model.ModelDeclaration{
			{Key: model.ModelKey{Model: "guide-7b", Version: "v3"}, Bytes: 8_000_000_000, Replicas: 3, Warm: 1, Priority: 90},
			{Key: scribe, Adapters: []string{"gates"}, Bytes: 9_000_000_000, Replicas: 1, Priority: 10},
		}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := Parse([]byte(tt.body))
			if err != nil || !reflect.DeepEqual(got, tt.want) {
				t.Errorf("got %+v, %v, want %+v", got, err, tt.want)
			}
		})
	}
}

// TestParseRefuses guards against invalid records that are accepted, or refused without the right line and key.
func TestParseRefuses(t *testing.T) {
	tests := []struct {
		name, body, old, new string
		line                 int
		key                  string
	}{
		{"unknown schema version", version1, "SchemaVersion: 1", "SchemaVersion: 3", 1, "SchemaVersion"},
		{"no schema version", version1, "SchemaVersion: 1\n", "", 1, "SchemaVersion"},
		{"key of another schema version", version1, "MemoryMB: 8000", "MemoryMB: 8000\nMemory: 8GB", 7, "Memory"},
		{"negative replicas", version1, "Replicas: 2", "Replicas: -2", 7, "Replicas"},
		{"adapter twice", version1, "[plating, shipping]", "[plating, plating]", 9, "Adapters"},
		{"name with a slash", version1, "Name: scribe", "Name: a/b", 2, "Name"},
		{"no unit", version2, "8GB", "8", 7, "Models[0].Memory"},
		{"warm above decided", version2, "Warm: 1", "Warm: 4", 9, "Models[0].Replicas.Warm"},
		{"model twice", version2, "Model: guide-7b\n    Version: v3", "Model: scribe-7b\n    Version: 1.10", 10, "Models[1].Model"},
		{"no models", version2, version2[strings.Index(version2, "Models:"):], "Models: []", 4, "Models"},
		{"priority word", version2, "Priority: 90", "Priority: High", 8, "Models[0].Priority"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(tt.body, tt.old, tt.new, 1)))
			var got *yamlfile.Problem
			if !errors.As(err, &got) {
				t.Fatalf("got error %v, want a yamlfile.Problem", err)
			}
			if got.Line != tt.line || got.Key != tt.key {
				t.Errorf("got %+v, want line %d and key %q", got, tt.line, tt.key)
			}
		})
	}
}

// TestMerge checks a model version that two records declare with different numbers and adapters.
func TestMerge(t *testing.T) {
	first, err1 := Parse([]byte(version1))
	second, err2 := Parse([]byte(version2))
	if err := errors.Join(err1, err2); err != nil {
		t.Fatal(err)
	}
	got := Merge([]model.Declaration{first, second})
	want := model.ModelDeclaration{
		Key:      model.ModelKey{Model: "scribe-7b", Version: "1.10"},
		Adapters: []string{"gates", "plating", "shipping"},
		Bytes:    9_000_000_000,
		Replicas: 2,
		Priority: 80,
	}
	if len(got) != 2 || !reflect.DeepEqual(got[1], want) {
		t.Errorf("got %+v, want the second to be %+v", got, want)
	}
}

func TestDecode(t *testing.T) {
	stored := model.Record{Name: "other", Generation: 4, Body: []byte(version1)}
	var nameError *NameError
	if _, err := Decode(stored); !errors.As(err, &nameError) {
		t.Errorf("got %v, want a NameError", err)
	}
	stored.Name = "scribe"
	if got, err := Decode(stored); err != nil || got.Generation != 4 {
		t.Errorf("got %+v, %v, want generation 4", got, err)
	}
	stored.Retired = true
	if got, err := Decode(stored); err != nil || len(got.Models) != 0 {
		t.Errorf("got %+v, %v, want no models", got, err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(version1))
	f.Add([]byte(version2))
	f.Fuzz(func(t *testing.T, body []byte) {
		d, err := Parse(body)
		if err == nil && (d.Record == "" || len(d.Models) == 0) {
			t.Errorf("got %+v and no error, want a name and models", d)
		}
	})
}
