package gossip

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// BucketCount is the number of buckets into which a digest divides the items.
const BucketCount = 64

// Digest is one hash for each bucket of items.
type Digest [BucketCount]uint32

// Table is the items that one entry host stores. It is not safe for concurrent use; only the control thread uses it.
type Table struct {
	items  map[ItemID]Item
	kinds  map[Kind]map[string]Item // the same items by kind and key
	digest Digest
	fresh  []Item
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{items: make(map[ItemID]Item), kinds: make(map[Kind]map[string]Item)}
}

// Merge adds the unexpired items that are new or have a higher rank than in the table, and returns them.
func (t *Table) Merge(now time.Time, items []Item) []Item {
	var accepted []Item
	for _, item := range items {
		if item.isExpired(now) || !t.isNewer(item.ID, item.Rank) {
			continue
		}
		t.replace(item)
		accepted = append(accepted, item)
	}
	t.fresh = append(t.fresh, accepted...)
	return accepted
}

// Get returns the item with the given ID.
func (t *Table) Get(id ItemID) (Item, bool) {
	item, ok := t.items[id]
	return item, ok
}

// Items returns the items of one kind, sorted by key.
func (t *Table) Items(kind Kind) []Item {
	items := slices.Collect(maps.Values(t.kinds[kind]))
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.ID.Key, b.ID.Key) })
	return items
}

// Len returns the number of items.
func (t *Table) Len() int { return len(t.items) }

// TakeFresh returns the items that Merge has accepted since the last call, to be pushed to peers.
func (t *Table) TakeFresh() []Item {
	fresh := t.fresh
	t.fresh = nil
	return fresh
}

// Digest returns the hashes of the buckets.
func (t *Table) Digest() Digest { return t.digest }

// Summaries returns the summaries of the items in the buckets whose hashes differ from the digest.
func (t *Table) Summaries(digest Digest) []Summary {
	var summaries []Summary
	for id, item := range t.items {
		if b := id.bucket(); t.digest[b] != digest[b] {
			summaries = append(summaries, Summary{ID: id, Rank: item.Rank})
		}
	}
	return summaries
}

// Reconcile compares the table with a peer's digest and with the summaries of the buckets that differ.
// It returns the items that the peer lacks or has in a lower rank, and the IDs of the items to request from the peer.
func (t *Table) Reconcile(digest Digest, summaries []Summary) (send []Item, request []ItemID) {
	peerRanks := make(map[ItemID]Rank, len(summaries))
	for _, s := range summaries {
		peerRanks[s.ID] = s.Rank
		if t.isNewer(s.ID, s.Rank) {
			request = append(request, s.ID)
		}
	}
	for id, item := range t.items {
		b := id.bucket()
		if t.digest[b] == digest[b] {
			continue
		}
		rank, known := peerRanks[id]
		if !known || item.Rank.Compare(rank) > 0 {
			send = append(send, item)
		}
	}
	return send, request
}

// Select returns the items with the given IDs.
func (t *Table) Select(ids []ItemID) []Item {
	var items []Item
	for _, id := range ids {
		if item, ok := t.items[id]; ok {
			items = append(items, item)
		}
	}
	return items
}

// Expire removes the expired items.
func (t *Table) Expire(now time.Time) {
	for id, item := range t.items {
		if item.isExpired(now) {
			t.remove(id)
		}
	}
}

// Remove removes the items of a kind for whose key isRemoved returns true, such as those of removed backend servers.
func (t *Table) Remove(kind Kind, isRemoved func(key string) bool) {
	for key := range t.kinds[kind] {
		if isRemoved(key) {
			t.remove(ItemID{Kind: kind, Key: key})
		}
	}
}

func (t *Table) isNewer(id ItemID, rank Rank) bool {
	existing, ok := t.items[id]
	return !ok || rank.Compare(existing.Rank) > 0
}

func (t *Table) replace(item Item) {
	t.remove(item.ID)
	t.items[item.ID] = item
	if t.kinds[item.ID.Kind] == nil {
		t.kinds[item.ID.Kind] = make(map[string]Item)
	}
	t.kinds[item.ID.Kind][item.ID.Key] = item
	t.toggleHash(item)
}

func (t *Table) remove(id ItemID) {
	item, ok := t.items[id]
	if !ok {
		return
	}
	delete(t.items, id)
	delete(t.kinds[id.Kind], id.Key)
	t.toggleHash(item)
}

// toggleHash adds an item to the hash of its bucket, or removes it, by XOR.
func (t *Table) toggleHash(item Item) {
	t.digest[item.ID.bucket()] ^= uint32(Summary{ID: item.ID, Rank: item.Rank}.hash())
}
