package record

import (
	"context"
	"errors"
	"testing"
	"time"

	"citronspread/model"
	"citronspread/store"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// fakeStore holds one entry. Each element of lost makes one write end without an answer:
// "after" once it took effect, "before" without effect, "overtaken" with effect and another write after it.
type fakeStore struct {
	entry store.Entry
	lost  []string
}

func (f *fakeStore) Get(_ context.Context, key string) (store.Entry, error) {
	if f.entry.Revision == 0 {
		return store.Entry{}, &store.NotFoundError{Key: key}
	}
	return f.entry, nil
}

func (f *fakeStore) List(context.Context, string) (store.Listing, error) {
	return store.Listing{Entries: []store.Entry{f.entry}}, nil
}

func (f *fakeStore) CompareAndSwap(_ context.Context, key string, value []byte, revision int64) (int64, error) {
	if revision != f.entry.Revision {
		return 0, &store.ConflictError{Key: key, Current: f.entry}
	}
	fault := ""
	if len(f.lost) > 0 {
		fault, f.lost = f.lost[0], f.lost[1:]
	}
	if fault != "before" {
		f.entry = store.Entry{Key: key, Value: value, Revision: revision + 1}
	}
	if fault == "overtaken" {
		f.entry = store.Entry{Key: key, Value: []byte(`{"Name":"scribe","Nonce":"other"}`), Revision: revision + 2}
	}
	if fault != "" {
		return 0, &store.UnavailableError{Key: key, Ambiguous: true}
	}
	return f.entry.Revision, nil
}

func TestPutSettlesLostAnswers(t *testing.T) {
	tests := []struct {
		name     string
		lost     []string
		conflict bool
	}{
		{"answered", nil, false},
		{"lost after the effect", []string{"after"}, false},
		{"lost before the effect", []string{"before"}, false},
		{"lost twice", []string{"before", "after"}, false},
		{"overtaken", []string{"overtaken"}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			repository := &Repository{Store: &fakeStore{lost: tt.lost}}
			got, err := repository.Put(context.Background(), start, Stored{}, "scribe", []byte(version1))
			var conflict *ConflictError
			if errors.As(err, &conflict) != tt.conflict || (err == nil) == tt.conflict {
				t.Fatalf("got error %v, want a conflict: %t", err, tt.conflict)
			}
			if !tt.conflict && (got.Revision != 1 || got.Record.Generation != 1 || got.Record.SchemaVersion != 1) {
				t.Errorf("got %+v", got)
			}
		})
	}
}

func TestPutLosesToRacer(t *testing.T) {
	ctx := context.Background()
	repository := &Repository{Store: &fakeStore{}}
	winner, err := repository.Put(ctx, start, Stored{}, "scribe", []byte(version1))
	if err != nil {
		t.Fatal(err)
	}
	_, err = repository.Put(ctx, start, Stored{}, "scribe", []byte(version1))
	var conflict *ConflictError
	if !errors.As(err, &conflict) || conflict.Winner.Revision != winner.Revision || conflict.Ambiguous {
		t.Errorf("got %v, want a conflict with revision %d", err, winner.Revision)
	}
}

func TestRetireKeepsGenerationRising(t *testing.T) {
	ctx := context.Background()
	repository := &Repository{Store: &fakeStore{}}
	stored, err := repository.Put(ctx, start, Stored{}, "scribe", []byte(version1))
	if err != nil {
		t.Fatal(err)
	}
	retired, err := repository.Retire(ctx, start, stored)
	if err != nil || !retired.Record.Retired {
		t.Fatalf("got %+v, %v", retired, err)
	}
	got, err := repository.Put(ctx, start, retired, "scribe", []byte(version1))
	if err != nil || got.Record.Retired || got.Record.Generation != 3 || !got.Record.Newer(model.Record{Generation: 2}) {
		t.Errorf("got %+v, %v, want generation 3", got, err)
	}
}
