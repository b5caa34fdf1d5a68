package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"citronspread/peer"
	"citronspread/store"
)

// Limits of the fetch of a large value from another host.
const (
	// partTimeout limits the call for one part. The time of all parts depends on the link and on what else it carries.
	partTimeout = time.Second
	// maxFetchTime bounds a fetch. What it has got is kept for the next one, from whichever host.
	maxFetchTime = 10 * time.Second
)

var errNoValue = errors.New("no such value")

// ValueError reports that a large value could not be fetched from another host or sent to it.
type ValueError struct {
	Key   string
	Peer  string // empty if the fault is not one of a call
	Cause error
}

func (e *ValueError) Error() string {
	return fmt.Sprintf("gateway: value of %s from %q: %v", e.Key, e.Peer, e.Cause)
}

// Unwrap returns the cause.
func (e *ValueError) Unwrap() error { return e.Cause }

// ValuePart returns a part of a large value to a host that fetches it.
func (p *platformHandler) ValuePart(_ context.Context, request *peer.ValuePartRequest) (*peer.ValuePartReply, error) {
	return p.host.values.part(request)
}

// fetchLarge returns the entries that another host has announced. Those that this host has already are not fetched.
func (h *Host) fetchLarge(ctx context.Context, address string, large []peer.LargeEntry) ([]store.Entry, error) {
	var entries []store.Entry
	for _, l := range large {
		e, err := h.fetchValue(ctx, address, l)
		if err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// fetchValue fetches the value of an entry, or of a later one of its key, part by part. It continues an earlier fetch of the same value
// from any host.
func (h *Host) fetchValue(ctx context.Context, address string, l peer.LargeEntry) (store.Entry, error) {
	own := h.values.latest(l.Key)
	if own.Revision >= l.Revision {
		return own, nil
	}
	ctx, cancel := context.WithTimeout(ctx, maxFetchTime)
	defer cancel()
	startedAt, p := h.Now(), h.values.takePartial(l.Key)
	resumed := len(p.data)
	for !p.isComplete() {
		if err := h.fetchPart(ctx, address, &peer.ValuePartRequest{Key: l.Key, Base: own.Revision, Sum: p.sum, Offset: len(p.data)}, &p); err != nil {
			h.values.keepPartial(l.Key, p)
			return store.Entry{}, &ValueError{Key: l.Key, Peer: address, Cause: err}
		}
	}
	e, err := h.values.decode(l.Key, p)
	if err == nil && e.Revision < l.Revision {
		err = fmt.Errorf("revision %d, want %d", e.Revision, l.Revision)
	}
	if err != nil {
		return store.Entry{}, &ValueError{Key: l.Key, Peer: address, Cause: err}
	}
	h.values.record(e)
	h.Log.Info("value fetched", zap.String("Key", l.Key), zap.String("Peer", address), zap.Int64("Revision", e.Revision), zap.Int64("Base", p.base),
		zap.Int("Bytes", len(e.Value)), zap.Int("Encoded", p.size), zap.Int("Resumed", resumed), zap.Duration("Took", h.Now().Sub(startedAt)))
	return e, nil
}

// fetchPart fetches one part and adds it.
func (h *Host) fetchPart(ctx context.Context, address string, request *peer.ValuePartRequest, p *partialValue) error {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	reply, err := h.Peers.ValuePart(ctx, address, request)
	if err != nil {
		return err
	}
	return p.add(reply)
}
