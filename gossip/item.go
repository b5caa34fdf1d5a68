// Package gossip holds the soft state that entry hosts pass on to each other and decides what to exchange.
package gossip

import (
	"cmp"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind tells what an item describes.
type Kind uint8

// Item kinds.
const (
	KindHost        Kind = iota + 1 // an entry host: its addresses and incarnation
	KindBackend                     // a backend server: its replicas, by its owner
	KindConfig                      // an operators' record
	KindSuspect                     // a request that was running when a backend server died
	KindDemand                      // what a zone loads from the weight store
	KindHostList                    // the platform's host list, sent on request alone
	KindCheckpoints                 // where a backend server finds checkpoints, by its owner
)

// Rank orders the values of one item. The higher rank replaces the lower one.
type Rank struct {
	_     struct{} `cbor:",toarray"`
	Major int64
	Minor int64
	Tie   string
}

// Compare returns -1, 0 or 1 as r is lower than, equal to or higher than other.
func (r Rank) Compare(other Rank) int {
	return cmp.Or(cmp.Compare(r.Major, other.Major), cmp.Compare(r.Minor, other.Minor), cmp.Compare(r.Tie, other.Tie))
}

// ItemID names an item.
type ItemID struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	Key  string
}

// Item is one value of soft state.
type Item struct {
	_         struct{} `cbor:",toarray"`
	ID        ItemID
	Rank      Rank
	Value     []byte    // CBOR
	ExpiresAt time.Time // zero: never
}

func (i Item) isExpired(now time.Time) bool {
	return !i.ExpiresAt.IsZero() && !now.Before(i.ExpiresAt)
}

// Summary tells which rank of an item a host holds, by hash.
type Summary struct {
	_    struct{} `cbor:",toarray"`
	ID   ItemID
	Rank Rank
}

func (s Summary) hash() uint64 {
	digest := xxhash.New()
	var numbers [17]byte
	numbers[0] = byte(s.ID.Kind)
	binary.LittleEndian.PutUint64(numbers[1:], uint64(s.Rank.Major))
	binary.LittleEndian.PutUint64(numbers[9:], uint64(s.Rank.Minor))
	_, _ = digest.Write(numbers[:])
	_, _ = digest.WriteString(s.ID.Key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(s.Rank.Tie)
	return digest.Sum64()
}

func (id ItemID) bucket() int {
	return int(xxhash.Sum64String(id.Key) % BucketCount)
}
