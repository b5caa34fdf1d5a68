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

// fakeStore stores one entry. Each element of faults makes one write end without a response: "after" loses the
// response of a write that took effect, "before" loses the request, and "overwritten" lets another write replace the
// one that took effect.
type fakeStore struct {
	entry  store.Entry
	faults []string
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
	if len(f.faults) > 0 {
		fault, f.faults = f.faults[0], f.faults[1:]
	}
	if fault != "before" {
		f.entry = store.Entry{Key: key, Value: value, Revision: revision + 1}
	}
	if fault == "overwritten" {
		f.entry = store.Entry{Key: key, Value: []byte(`{"Name":"scribe","Nonce":"other"}`), Revision: revision + 2}
	}
	if fault != "" {
		return 0, &store.UnavailableError{Key: key, Ambiguous: true}
	}
	return f.entry.Revision, nil
}

// TestPutResolvesLostResponses guards against a write that is reported as a conflict, or performed twice, because the
// response of its first attempt was lost.
func TestPutResolvesLostResponses(t *testing.T) {
	tests := []struct {
		name     string
		faults   []string
		conflict bool
	}{
		{"response received", nil, false},
		{"response lost", []string{"after"}, false},
		{"request lost", []string{"before"}, false},
		{"request and response lost", []string{"before", "after"}, false},
		{"overwritten", []string{"overwritten"}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			repository := &Repository{Store: &fakeStore{faults: tt.faults}}
			got, err := repository.Put(context.Background(), start, StoredRecord{}, "scribe", []byte(version1))
			var conflict *ConflictError
			if errors.As(err, &conflict) != tt.conflict || (err == nil) == tt.conflict {
				t.Fatalf("got error %v, want a conflict: %t", err, tt.conflict)
			}
			if !tt.conflict && (got.Revision != 1 || got.Record.Generation != 1 || got.Record.SchemaVersion != 1) {
				t.Errorf("got %+v, want revision 1, generation 1 and schema version 1", got)
			}
		})
	}
}

// TestPutConflict guards against a write that replaces a record which changed since it was read.
func TestPutConflict(t *testing.T) {
	ctx := context.Background()
	repository := &Repository{Store: &fakeStore{}}
	current, err := repository.Put(ctx, start, StoredRecord{}, "scribe", []byte(version1))
	if err != nil {
		t.Fatal(err)
	}
	_, err = repository.Put(ctx, start, StoredRecord{}, "scribe", []byte(version1))
	var conflict *ConflictError
	if !errors.As(err, &conflict) || conflict.Current.Revision != current.Revision || conflict.Ambiguous {
		t.Errorf("got %v, want a conflict with revision %d", err, current.Revision)
	}
}

// TestRetireContinuesGenerations guards against generations that start again after a record was retired.
func TestRetireContinuesGenerations(t *testing.T) {
	ctx := context.Background()
	repository := &Repository{Store: &fakeStore{}}
	stored, err := repository.Put(ctx, start, StoredRecord{}, "scribe", []byte(version1))
	if err != nil {
		t.Fatal(err)
	}
	retired, err := repository.Retire(ctx, start, stored)
	if err != nil || !retired.Record.Retired {
		t.Fatalf("got %+v, %v, want a retired record", retired, err)
	}
	got, err := repository.Put(ctx, start, retired, "scribe", []byte(version1))
	if err != nil || got.Record.Retired || got.Record.Generation != 3 || !got.Record.Newer(model.Record{Generation: 2}) {
		t.Errorf("got %+v, %v, want generation 3", got, err)
	}
}
