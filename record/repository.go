package record

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"citronspread/model"
	"citronspread/store"
)

// KeyPrefix is the prefix of the keys of operators' records in the platform's store.
const KeyPrefix = "config/"

const (
	maxWriteAttempts = 10
	retryDelay       = 200 * time.Millisecond
)

// Store is the subset of the platform's store that a Repository uses.
type Store interface {
	Get(ctx context.Context, key string) (store.Entry, error)
	List(ctx context.Context, prefix string) (store.Listing, error)
	CompareAndSwap(ctx context.Context, key string, value []byte, revision int64) (int64, error)
}

// StoredRecord is a record with the store revision of its last write, or 0 if the record does not exist.
type StoredRecord struct {
	Record   model.Record
	Revision int64
}

// Repository reads and writes operators' records in the platform's store.
type Repository struct {
	Store Store
}

// Get returns a record. If the record does not exist, its revision is 0 and there is no error.
func (r *Repository) Get(ctx context.Context, name string) (StoredRecord, error) {
	entry, err := r.Store.Get(ctx, KeyPrefix+name)
	var notFound *store.NotFoundError
	if errors.As(err, &notFound) {
		return StoredRecord{}, nil
	}
	if err != nil {
		return StoredRecord{}, err
	}
	return DecodeEntry(entry)
}

// List returns all records in the order of the store's listing, which sorts them by key.
func (r *Repository) List(ctx context.Context) ([]StoredRecord, error) {
	listing, err := r.Store.List(ctx, KeyPrefix)
	if err != nil {
		return nil, err
	}
	all := make([]StoredRecord, 0, len(listing.Entries))
	for _, entry := range listing.Entries {
		stored, err := DecodeEntry(entry)
		if err != nil {
			return nil, err
		}
		all = append(all, stored)
	}
	return all, nil
}

// Put writes body as the successor of current, the record last read. The caller must have validated the body with
// Parse. Put returns a ConflictError if current is no longer the stored record.
func (r *Repository) Put(ctx context.Context, now time.Time, current StoredRecord, name string, body []byte) (StoredRecord, error) {
	next := nextRecord(now, current.Record)
	next.Name = name
	next.SchemaVersion = Version(body)
	next.Body = body
	return r.write(ctx, next, current.Revision)
}

// Retire marks a record as retired. The record stays in the store, so that a later Put continues its generations.
func (r *Repository) Retire(ctx context.Context, now time.Time, current StoredRecord) (StoredRecord, error) {
	next := nextRecord(now, current.Record)
	next.Retired = true
	return r.write(ctx, next, current.Revision)
}

// nextRecord returns a copy of previous with the next generation, a new nonce and a time of writing that is later
// than that of previous even if the clock went back.
func nextRecord(now time.Time, previous model.Record) model.Record {
	next := previous
	next.Generation = previous.Generation + 1
	next.WrittenAt = now.UTC()
	if earliest := previous.WrittenAt.Add(time.Microsecond); next.WrittenAt.Before(earliest) {
		next.WrittenAt = earliest
	}
	next.Nonce = uuid.NewString()
	next.Retired = false
	return next
}

// write writes next by compare-and-swap. It retries a write with an ambiguous outcome under the same expected
// revision, so that the write takes effect at most once.
func (r *Repository) write(ctx context.Context, next model.Record, revision int64) (StoredRecord, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return StoredRecord{}, errors.Wrap(err, "record: encode")
	}
	ambiguous := false
	for attempt := 0; ; attempt++ {
		written, err := r.Store.CompareAndSwap(ctx, KeyPrefix+next.Name, value, revision)
		if err == nil {
			return StoredRecord{Record: next, Revision: written}, nil
		}
		if conflict := (*store.ConflictError)(nil); errors.As(err, &conflict) {
			return resolveConflict(next, conflict.Current, ambiguous)
		}
		ambiguous = ambiguous || isAmbiguous(err)
		if !ambiguous {
			return StoredRecord{}, err
		}
		if attempt+1 == maxWriteAttempts || !sleep(ctx, retryDelay) {
			return StoredRecord{}, errors.WithStack(&UnknownOutcomeError{Name: next.Name, Nonce: next.Nonce, Cause: err})
		}
	}
}

// resolveConflict decides whether a conflict was caused by an earlier attempt of the same write. The current entry
// has the nonce of next then, and the write succeeded.
func resolveConflict(next model.Record, current store.Entry, ambiguous bool) (StoredRecord, error) {
	winner := StoredRecord{}
	if current.Revision != 0 {
		decoded, err := DecodeEntry(current)
		if err != nil {
			return StoredRecord{}, err
		}
		winner = decoded
	}
	if ambiguous && winner.Record.Nonce == next.Nonce {
		return winner, nil
	}
	return StoredRecord{}, errors.WithStack(&ConflictError{Name: next.Name, Current: winner, Ambiguous: ambiguous})
}

func isAmbiguous(err error) bool {
	var unavailable *store.UnavailableError
	return errors.As(err, &unavailable) && unavailable.Ambiguous
}

// sleep waits for d. It reports false if ctx was cancelled before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// DecodeEntry decodes the record in an entry whose key starts with KeyPrefix.
func DecodeEntry(entry store.Entry) (StoredRecord, error) {
	stored := StoredRecord{Revision: entry.Revision}
	if err := json.Unmarshal(entry.Value, &stored.Record); err != nil {
		return stored, errors.Wrapf(err, "record: decode entry %s", entry.Key)
	}
	if stored.Record.Name != strings.TrimPrefix(entry.Key, KeyPrefix) {
		return stored, errors.WithStack(&NameError{Key: entry.Key, Name: stored.Record.Name})
	}
	return stored, nil
}
