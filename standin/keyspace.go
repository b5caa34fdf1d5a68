package standin

import (
	"sort"
	"strings"
	"time"

	"citronspread/store"
)

// lease expires unless it is renewed within its TTL.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// storedEntry is an entry with its lease. The entry is deleted when the lease ends.
type storedEntry struct {
	entry store.Entry
	lease string // empty for none
}

// keyspace is the data of the store. Each change increments its revision.
type keyspace struct {
	revision int64
	entries  map[string]storedEntry
	deleted  map[string]int64 // revision of the deletion by key
	leases   map[string]lease
}

func newKeyspace() *keyspace {
	return &keyspace{entries: map[string]storedEntry{}, deleted: map[string]int64{}, leases: map[string]lease{}}
}

// put writes a value if revision is the current revision of the key, 0 for a missing key. It reports whether it did.
func (k *keyspace) put(key string, value []byte, revision int64, leaseID string) bool {
	if k.entries[key].entry.Revision != revision {
		return false
	}
	k.revision++
	delete(k.deleted, key)
	k.entries[key] = storedEntry{entry: store.Entry{Key: key, Value: value, Revision: k.revision}, lease: leaseID}
	return true
}

// remove deletes a key if revision is its current revision. It reports whether it did.
func (k *keyspace) remove(key string, revision int64) bool {
	if k.entries[key].entry.Revision != revision {
		return false
	}
	k.revision++
	delete(k.entries, key)
	k.deleted[key] = k.revision
	return true
}

func (k *keyspace) list(prefix string) store.Listing {
	return store.Listing{Revision: k.revision, Entries: k.changedAfter(prefix, 0)}
}

// changes returns the changes to keys with a prefix after a revision. If that revision is higher than the store's,
// because the store has lost data, it returns all entries.
func (k *keyspace) changes(prefix string, after int64) store.Change {
	if after > k.revision {
		after = 0
	}
	change := store.Change{Revision: k.revision, Entries: k.changedAfter(prefix, after)}
	for key, revision := range k.deleted {
		if revision > after && strings.HasPrefix(key, prefix) {
			change.Deleted = append(change.Deleted, key)
		}
	}
	sort.Strings(change.Deleted)
	return change
}

func (k *keyspace) changedAfter(prefix string, after int64) []store.Entry {
	entries := []store.Entry{}
	for key, e := range k.entries {
		if e.entry.Revision > after && strings.HasPrefix(key, prefix) {
			entries = append(entries, e.entry)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	return entries
}

// expire removes expired leases and deletes their entries. It reports whether an entry was deleted.
func (k *keyspace) expire(now time.Time) bool {
	changed := false
	for id, l := range k.leases {
		if now.Before(l.expiresAt) {
			continue
		}
		changed = k.removeLease(id) || changed
	}
	return changed
}

// removeLease removes a lease and deletes its entries. It reports whether an entry was deleted.
func (k *keyspace) removeLease(id string) bool {
	delete(k.leases, id)
	changed := false
	for key, e := range k.entries {
		if e.lease == id && k.remove(key, e.entry.Revision) {
			changed = true
		}
	}
	return changed
}
