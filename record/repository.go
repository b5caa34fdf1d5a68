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

// KeyPrefix is where the platform's store holds operators' records.
const KeyPrefix = "config/"

const (
	settleTries = 10
	settlePause = 200 * time.Millisecond
)

// Store is the part of the platform's store that a Repository needs.
type Store interface {
	Get(ctx context.Context, key string) (store.Entry, error)
	List(ctx context.Context, prefix string) (store.Listing, error)
	CompareAndSwap(ctx context.Context, key string, value []byte, revision int64) (int64, error)
}

// Stored is a record with the revision that wrote it, 0 when there is none.
type Stored struct {
	Record   model.Record
	Revision int64
}

// Repository reads and writes operators' records in the platform's store.
type Repository struct {
	Store Store
}

// Get returns a record, with revision 0 when there is none.
func (r *Repository) Get(ctx context.Context, name string) (Stored, error) {
	entry, err := r.Store.Get(ctx, KeyPrefix+name)
	var notFound *store.NotFoundError
	if errors.As(err, &notFound) {
		return Stored{}, nil
	}
	if err != nil {
		return Stored{}, err
	}
	return DecodeEntry(entry)
}

// List returns all records, sorted by name as the store sorts keys.
func (r *Repository) List(ctx context.Context) ([]Stored, error) {
	listing, err := r.Store.List(ctx, KeyPrefix)
	if err != nil {
		return nil, err
	}
	all := make([]Stored, 0, len(listing.Entries))
	for _, entry := range listing.Entries {
		stored, err := DecodeEntry(entry)
		if err != nil {
			return nil, err
		}
		all = append(all, stored)
	}
	return all, nil
}

// Put writes the body of a record on top of current. The body must be valid.
func (r *Repository) Put(ctx context.Context, now time.Time, current Stored, name string, body []byte) (Stored, error) {
	next := successor(now, current.Record)
	next.Name = name
	next.SchemaVersion = Version(body)
	next.Body = body
	return r.write(ctx, next, current.Revision)
}

// Retire marks a record as retired. It stays in the store, so that its generation keeps rising.
func (r *Repository) Retire(ctx context.Context, now time.Time, current Stored) (Stored, error) {
	next := successor(now, current.Record)
	next.Retired = true
	return r.write(ctx, next, current.Revision)
}

func successor(now time.Time, previous model.Record) model.Record {
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

// write repeats an ambiguous write under the same revision, so that it takes effect at most once.
func (r *Repository) write(ctx context.Context, next model.Record, revision int64) (Stored, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return Stored{}, errors.Wrap(err, "record")
	}
	ambiguous := false
	for try := 0; ; try++ {
		written, err := r.Store.CompareAndSwap(ctx, KeyPrefix+next.Name, value, revision)
		if err == nil {
			return Stored{Record: next, Revision: written}, nil
		}
		if conflict := (*store.ConflictError)(nil); errors.As(err, &conflict) {
			return settle(next, conflict.Current, ambiguous)
		}
		ambiguous = ambiguous || isAmbiguous(err)
		if !ambiguous {
			return Stored{}, err
		}
		if try+1 == settleTries || !pause(ctx, settlePause) {
			return Stored{}, errors.WithStack(&UnsettledError{Name: next.Name, Nonce: next.Nonce, Cause: err})
		}
	}
}

// settle compares the nonce of the current entry with that of a write that met a conflict.
func settle(next model.Record, current store.Entry, ambiguous bool) (Stored, error) {
	winner := Stored{}
	if current.Revision != 0 {
		decoded, err := DecodeEntry(current)
		if err != nil {
			return Stored{}, err
		}
		winner = decoded
	}
	if ambiguous && winner.Record.Nonce == next.Nonce {
		return winner, nil
	}
	return Stored{}, errors.WithStack(&ConflictError{Name: next.Name, Winner: winner, Ambiguous: ambiguous})
}

func isAmbiguous(err error) bool {
	var unavailable *store.UnavailableError
	return errors.As(err, &unavailable) && unavailable.Ambiguous
}

func pause(ctx context.Context, length time.Duration) bool {
	select {
	case <-time.After(length):
		return true
	case <-ctx.Done():
		return false
	}
}

// DecodeEntry decodes an entry under KeyPrefix.
func DecodeEntry(entry store.Entry) (Stored, error) {
	stored := Stored{Revision: entry.Revision}
	if err := json.Unmarshal(entry.Value, &stored.Record); err != nil {
		return stored, errors.Wrapf(err, "record: entry %s", entry.Key)
	}
	if stored.Record.Name != strings.TrimPrefix(entry.Key, KeyPrefix) {
		return stored, errors.WithStack(&NameError{Key: entry.Key, Name: stored.Record.Name})
	}
	return stored, nil
}
