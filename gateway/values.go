package gateway

import (
	"fmt"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"

	"citronspread/peer"
	"citronspread/store"
)

// Limits of large values, which hosts send each other in parts.
const (
	// largeFrom is the size in bytes from which a value is fetched in parts.
	largeFrom = 64 << 10
	// valuePartBytes is the size of a part. Sixty followers of a relay with a link of 10 Mbit/s get one each in 0.4 s.
	valuePartBytes = 8 << 10
	// maxLargeKeys, maxRevisions and maxEncoded bound what a host keeps: keys, values of each, and encoded values in all.
	maxLargeKeys = 4
	maxRevisions = 3
	maxEncoded   = 4
	// differenceWindow is how far back an encoded value may refer to its base and itself, in bytes.
	differenceWindow = 4 << 20
	// dictionaryID marks encoded values that need their base.
	dictionaryID = 1
)

// values holds the latest large values of the store that this host knows. Other hosts fetch them from it in parts, as the difference
// from a value that they have.
type values struct {
	mu      sync.Mutex
	known   map[string][]store.Entry // by key, the latest first
	encoded []encodedValue           // the latest last
	partial map[string]partialValue  // by key: values that were fetched in part
}

// encodedValue is a compressed value.
type encodedValue struct {
	key      string
	revision int64
	base     int64 // revision of the value that is its dictionary, 0 for none
	sum      uint64
	data     []byte
}

// partialValue holds the first parts of an encoded value.
type partialValue struct {
	revision, base int64
	size           int
	sum            uint64
	data           []byte
}

func newValues() *values {
	return &values{known: make(map[string][]store.Entry), partial: make(map[string]partialValue)}
}

// record keeps a value if it is large and the latest of its key.
func (v *values) record(e store.Entry) {
	if len(e.Value) < largeFrom {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.known[e.Key]
	if len(known) > 0 && known[0].Revision >= e.Revision || len(known) == 0 && len(v.known) >= maxLargeKeys {
		return
	}
	known = slices.Insert(known, 0, e)
	v.known[e.Key] = known[:min(len(known), maxRevisions)]
}

// latest returns the latest value of a key, one of revision 0 if there is none.
func (v *values) latest(key string) store.Entry {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.find(key, 0)
}

// find returns the value of a key at a revision, or the latest one if that is 0. The caller holds the mutex.
func (v *values) find(key string, revision int64) store.Entry {
	for _, e := range v.known[key] {
		if revision == 0 || e.Revision == revision {
			return e
		}
	}
	return store.Entry{Key: key}
}

// announce moves the large entries of a change that other hosts can fetch from this one to the returned list.
func (v *values) announce(change *store.Change) []peer.LargeEntry {
	v.mu.Lock()
	defer v.mu.Unlock()
	var large []peer.LargeEntry
	rest := change.Entries[:0:0]
	for _, e := range change.Entries {
		if len(e.Value) >= largeFrom && v.find(e.Key, 0).Revision >= e.Revision {
			large = append(large, peer.LargeEntry{Key: e.Key, Revision: e.Revision})
			continue
		}
		rest = append(rest, e)
	}
	change.Entries = rest
	return large
}

// part returns the requested part of the latest value of a key, or of the value of which the requester has the first parts.
func (v *values) part(request *peer.ValuePartRequest) (*peer.ValuePartReply, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, err := v.encode(request)
	if err != nil || e.revision == 0 {
		return &peer.ValuePartReply{}, err
	}
	reply := &peer.ValuePartReply{Found: true, Revision: e.revision, Base: e.base, Size: len(e.data), Sum: e.sum}
	if e.sum == request.Sum {
		reply.Offset = min(max(0, request.Offset), len(e.data))
	}
	reply.Part = e.data[reply.Offset:min(reply.Offset+valuePartBytes, len(e.data))]
	return reply, nil
}

// encode returns the encoded value that a request is about, and encodes it for the first request. The caller holds the mutex.
func (v *values) encode(request *peer.ValuePartRequest) (encodedValue, error) {
	latest, base := v.find(request.Key, 0), store.Entry{}
	if request.Base != 0 {
		base = v.find(request.Key, request.Base)
	}
	begun := func(e encodedValue) bool { return e.key == request.Key && request.Sum != 0 && e.sum == request.Sum }
	current := func(e encodedValue) bool {
		return e.key == request.Key && e.revision == latest.Revision && e.base == base.Revision
	}
	for _, matches := range []func(encodedValue) bool{begun, current} {
		if i := slices.IndexFunc(v.encoded, matches); i >= 0 {
			return v.encoded[i], nil
		}
	}
	if latest.Revision == 0 {
		return encodedValue{}, nil
	}
	data, err := compress(latest.Value, base.Value)
	if err != nil {
		return encodedValue{}, &ValueError{Key: request.Key, Cause: err}
	}
	e := encodedValue{key: request.Key, revision: latest.Revision, base: base.Revision, sum: xxhash.Sum64(data), data: data}
	v.encoded = append(v.encoded, e)
	v.encoded = v.encoded[max(0, len(v.encoded)-maxEncoded):]
	return e, nil
}

// takePartial returns what has been fetched of the value of a key, and forgets it.
func (v *values) takePartial(key string) partialValue {
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.partial[key]
	delete(v.partial, key)
	return p
}

// keepPartial keeps what has been fetched of a value, so that another fetch continues it.
func (v *values) keepPartial(key string, p partialValue) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(p.data) > 0 && len(v.partial) < maxLargeKeys {
		v.partial[key] = p
	}
}

// add adds a part. It starts anew if the part is one of another encoded value.
func (p *partialValue) add(reply *peer.ValuePartReply) error {
	if reply.Sum != p.sum || reply.Size != p.size || len(p.data) == 0 {
		*p = partialValue{revision: reply.Revision, base: reply.Base, size: reply.Size, sum: reply.Sum}
	}
	switch {
	case !reply.Found:
		return errNoValue
	case p.size <= 0 || p.size > maxUnpacked:
		return fmt.Errorf("encoded value of %d bytes", p.size)
	case reply.Offset != len(p.data) || len(reply.Part) == 0 || len(p.data)+len(reply.Part) > p.size:
		return fmt.Errorf("part of %d bytes at %d, have %d of %d", len(reply.Part), reply.Offset, len(p.data), p.size)
	}
	p.data = append(p.data, reply.Part...)
	return nil
}

// isComplete reports whether all parts have arrived.
func (p *partialValue) isComplete() bool { return p.size > 0 && len(p.data) == p.size }

// decode returns the value of a key whose parts are complete.
func (v *values) decode(key string, p partialValue) (store.Entry, error) {
	if got := xxhash.Sum64(p.data); got != p.sum {
		return store.Entry{}, fmt.Errorf("encoded value with sum %x, want %x", got, p.sum)
	}
	v.mu.Lock()
	base := store.Entry{}
	if p.base != 0 {
		base = v.find(key, p.base)
	}
	v.mu.Unlock()
	if base.Revision != p.base {
		return store.Entry{}, fmt.Errorf("difference from revision %d, which is not known any more", p.base)
	}
	value, err := decompress(p.data, base.Value)
	if err != nil {
		return store.Entry{}, err
	}
	return store.Entry{Key: key, Revision: p.revision, Value: value}, nil
}

// compress compresses a value as the difference from a base, which may be empty.
func compress(value, base []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(differenceWindow),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, err
	}
	defer encoder.Close()
	return encoder.EncodeAll(value, nil), nil
}

// decompress reverses compress. The value may have maxUnpacked bytes at most.
func decompress(data, base []byte) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxUnpacked)}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, err
	}
	defer decoder.Close()
	return decoder.DecodeAll(data, nil)
}
