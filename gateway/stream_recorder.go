package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"citronspread/peer"
	"citronspread/store"
)

const (
	// recordTimeout is how long the first event of a stream waits for its record.
	recordTimeout = 300 * time.Millisecond
	// recordRetryPause is the pause after a transaction that failed.
	recordRetryPause = 200 * time.Millisecond
	// maxRecordBatch bounds the records of one transaction.
	maxRecordBatch = 32
	// maxHelpedWrites bounds the transactions that a host makes for others at the same time.
	maxHelpedWrites = 4
)

// streamRecorder writes the software versions of streams to the store, those that begin at the same time together. If the
// store does not respond to this host, other hosts write them.
type streamRecorder struct {
	host *Host

	mu         sync.Mutex
	pending    []streamRecord
	writing    bool
	failing    bool           // the last records were not written, neither by this host nor by others
	turnedAway bool           // the store did not respond to this host when it last wrote
	helped     int            // transactions for other hosts that are in progress
	written    []streamRecord // within streamRetention, in the order of their time
	lease      int64          // of the records, 0 if none is usable
	leasedAt   time.Time
}

// streamRecord is the software version that began a stream.
type streamRecord struct {
	key     string
	version string
	at      time.Time
	sent    bool          // a transaction with it was begun, which may take effect without a response
	done    chan struct{} // closed when it is written
}

var (
	// errStoreFailing reports that a record is not written before the store responds again.
	errStoreFailing = errors.New("gateway: the last records of streams were not written")
	errNoHelp       = errors.New("gateway: this host does not reach the store either, or writes enough records for others")
)

// record writes a record and waits until it is written, at most for recordTimeout, and not at all while records are not
// written. A record that is not written by then is still written later.
func (s *streamRecorder) record(ctx context.Context, key, version string) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	r := streamRecord{key: key, version: version, at: s.host.Now(), done: make(chan struct{})}
	failing := s.isFailing(r.at)
	s.add(r)
	if failing {
		return errStoreFailing
	}
	select {
	case <-r.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// isFailing reports whether records are not written now, or not within recordTimeout.
func (s *streamRecorder) isFailing(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failing || len(s.pending) > 0 && now.Sub(s.pending[0].at) >= recordTimeout
}

// add adds records to those to be written.
func (s *streamRecorder) add(records ...streamRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, records...)
	if !s.writing && len(s.pending) > 0 {
		s.writing = true
		s.host.spawn(s.write)
	}
}

// write writes the pending records until there are none.
func (s *streamRecorder) write(ctx context.Context) {
	for ctx.Err() == nil {
		batch := s.next()
		if len(batch) == 0 {
			return
		}
		err := s.commitAnywhere(ctx, batch)
		if err == nil {
			s.finish(batch)
			continue
		}
		s.host.Log.Info("streams not recorded", zap.Int("Streams", len(batch)), zap.Error(err))
		s.host.post(func(now time.Time) { s.host.enterEraOf(now, err) })
		s.mu.Lock()
		s.lease, s.failing = 0, true
		s.mu.Unlock()
		sleep(ctx, recordRetryPause)
	}
}

// next returns the first pending records that are still of use. If there are none, the writing ends.
func (s *streamRecorder) next() []streamRecord {
	now := s.host.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.pending) > 0 && now.Sub(s.pending[0].at) > streamRetention {
		s.pending = s.pending[1:]
	}
	s.writing = len(s.pending) > 0
	s.failing = s.failing && s.writing
	batch := s.pending[:min(len(s.pending), maxRecordBatch)]
	for i := range batch {
		batch[i].sent = true
	}
	return batch
}

// withdraw removes a record that was not sent yet. It reports whether the record will never be written.
func (s *streamRecorder) withdraw(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.pending, func(r streamRecord) bool { return r.key == key && !r.sent })
	if i < 0 {
		return false
	}
	s.pending = slices.Delete(s.pending, i, i+1)
	return true
}

// commitAnywhere writes records to the store, or has other hosts write them if it does not respond to this one.
func (s *streamRecorder) commitAnywhere(ctx context.Context, batch []streamRecord) error {
	delay := helpDelay
	s.mu.Lock()
	if s.turnedAway {
		delay = 0
	}
	s.mu.Unlock()
	direct, err := firstSuccess(ctx, delay, func(ctx context.Context) (bool, error) {
		return true, s.commit(ctx, batch)
	}, func(ctx context.Context) (bool, error) {
		return false, s.commitThroughHelpers(ctx, batch)
	})
	s.mu.Lock()
	changed := s.turnedAway == direct
	s.turnedAway = !direct
	s.mu.Unlock()
	if err == nil && changed {
		s.host.Log.Info("writer of streams' records changed", zap.Bool("OtherHosts", !direct), zap.Int("Streams", len(batch)))
	}
	return err
}

// commitThroughHelpers has other hosts write records.
func (s *streamRecorder) commitThroughHelpers(ctx context.Context, batch []streamRecord) error {
	request := &peer.RecordStreamsRequest{From: s.host.Name}
	for _, r := range batch {
		request.Streams = append(request.Streams, peer.StreamRecord{Key: r.key, Version: r.version})
	}
	_, err := callHelpers(ctx, s.host, func(ctx context.Context, address string) (struct{}, error) {
		return struct{}{}, s.host.Peers.RecordStreams(ctx, address, request)
	})
	return err
}

// commitForOther writes the records of another host. It fails at once if this host does not hear of the store either.
func (s *streamRecorder) commitForOther(ctx context.Context, request *peer.RecordStreamsRequest) error {
	s.mu.Lock()
	if s.helped >= maxHelpedWrites || s.host.history.isOutdated(s.host.Now()) {
		s.mu.Unlock()
		return errNoHelp
	}
	s.helped++
	s.mu.Unlock()
	var batch []streamRecord
	for _, r := range request.Streams {
		batch = append(batch, streamRecord{key: r.Key, version: r.Version})
	}
	err := s.commit(ctx, batch)
	s.mu.Lock()
	s.helped--
	s.mu.Unlock()
	s.host.Log.Info("streams of another host recorded", zap.String("From", request.From), zap.Int("Streams", len(batch)), zap.Error(err))
	return err
}

// commit writes records under the lease.
func (s *streamRecorder) commit(ctx context.Context, batch []streamRecord) error {
	lease, err := s.currentLease(ctx)
	if err != nil {
		return err
	}
	t := store.Transaction{}
	for _, r := range batch {
		t.Writes = append(t.Writes, store.Write{Key: r.key, Value: []byte(r.version), Lease: lease})
	}
	s.host.Metrics.CountStoreCall("transaction", "stream")
	_, err = s.host.Store.Commit(ctx, t)
	return err
}

// currentLease returns a lease that lasts for streamRetention or longer.
func (s *streamRecorder) currentLease(ctx context.Context) (int64, error) {
	s.mu.Lock()
	lease, now := s.lease, s.host.Now()
	usable := lease != 0 && now.Sub(s.leasedAt) < streamRetention
	s.mu.Unlock()
	if usable {
		return lease, nil
	}
	s.host.Metrics.CountStoreCall("lease", "stream")
	lease, err := s.host.Store.GrantLease(ctx, 2*streamRetention)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease, s.leasedAt = lease, now
	return lease, nil
}

// finish moves records from pending to written.
func (s *streamRecorder) finish(batch []streamRecord) {
	now := s.host.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range batch {
		if r.done != nil {
			close(r.done)
		}
		s.written = append(s.written, streamRecord{key: r.key, version: r.version, at: r.at})
	}
	s.pending, s.failing = s.pending[len(batch):], false
	for len(s.written) > 0 && now.Sub(s.written[0].at) > streamRetention {
		s.written = s.written[1:]
	}
}

// repeat writes the records of streams again that may be lost since the store was restored.
func (s *streamRecorder) repeat() {
	s.mu.Lock()
	lost := s.written
	s.written, s.lease = nil, 0
	s.mu.Unlock()
	s.add(lost...)
}
