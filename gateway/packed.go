package gateway

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"citronspread/peer"
	"citronspread/store"
)

const (
	// packedFrom is the size in bytes from which a value is compressed for the hosts that follow a relay. A desired state
	// with over a thousand models would otherwise take the link of a small host for seconds when it sends it to sixty
	// followers.
	packedFrom = 4 << 10
	// maxUnpacked limits the size of a value in bytes. The platform's store takes values of up to a megabyte.
	maxUnpacked = 8 << 20
)

// packer compresses large values once for all followers.
type packer struct {
	packed map[string]peer.PackedEntry // by key, the latest revision
}

// pack moves the large entries of a change to the returned list, compressed.
func (p *packer) pack(change *store.Change) []peer.PackedEntry {
	var packed []peer.PackedEntry
	small := change.Entries[:0:0]
	for _, e := range change.Entries {
		if len(e.Value) < packedFrom {
			small = append(small, e)
			continue
		}
		known, found := p.packed[e.Key]
		if !found || known.Revision != e.Revision {
			known = peer.PackedEntry{Key: e.Key, Revision: e.Revision, Value: deflate(e.Value)}
			if p.packed == nil {
				p.packed = make(map[string]peer.PackedEntry)
			}
			p.packed[e.Key] = known
		}
		packed = append(packed, known)
	}
	change.Entries = small
	return packed
}

func deflate(value []byte) []byte {
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant that flate knows
	}
	_, _ = w.Write(value) // writes to a buffer do not fail
	_ = w.Close()
	return compressed.Bytes()
}

// unpack decompresses entries.
func unpack(packed []peer.PackedEntry) ([]store.Entry, error) {
	var entries []store.Entry
	for _, p := range packed {
		value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p.Value)), maxUnpacked+1))
		if err != nil {
			return nil, fmt.Errorf("gateway: unpack %s: %w", p.Key, err)
		}
		if len(value) > maxUnpacked {
			return nil, &store.ValueTooLargeError{Key: p.Key, Bytes: len(value)}
		}
		entries = append(entries, store.Entry{Key: p.Key, Revision: p.Revision, Value: value})
	}
	return entries, nil
}
