// Package gossip stores the soft state that entry hosts replicate to each other, and determines which items two hosts
// have to exchange to agree.
package gossip

import (
	"cmp"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind is what an item describes.
type Kind uint8

const (
	KindHost        Kind = iota + 1 // an entry host: its addresses and incarnation
	KindBackend                     // the replicas of a backend server, published by its owner
	KindConfig                      // an operator's configuration record
	KindSuspect                     // a request that was running when a backend server crashed
	KindDemand                      // a zone's loads from the weight store
	KindHostList                    // the platform's host list, sent only on request
	KindCheckpoints                 // the checkpoints that a backend server can read, published by its owner
)

// Rank orders the values of an item. A value replaces values of lower rank.
type Rank struct {
	_     struct{} `cbor:",toarray"`
	Major int64
	Minor int64
	Tie   string
}

// Compare returns -1 if r is lower than other, 0 if they are equal and 1 if r is higher.
func (r Rank) Compare(other Rank) int {
	return cmp.Or(cmp.Compare(r.Major, other.Major), cmp.Compare(r.Minor, other.Minor), cmp.Compare(r.Tie, other.Tie))
}

// ItemID identifies an item.
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
	ExpiresAt time.Time // zero for never
}

func (i Item) isExpired(now time.Time) bool {
	return !i.ExpiresAt.IsZero() && !now.Before(i.ExpiresAt)
}

// Summary is the rank of an item that a host stores.
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
