package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"citronspread/store"
)

const (
	// recordTimeout is how long the first event of a stream waits for its record.
	recordTimeout = 300 * time.Millisecond
	// recordRetryPause is the pause after a transaction that failed.
	recordRetryPause = 200 * time.Millisecond
	// maxRecordBatch bounds the records of one transaction.
	maxRecordBatch = 32
)

// streamRecorder writes the software versions of streams to the store, those that begin at the same time together.
type streamRecorder struct {
	host *Host

	mu       sync.Mutex
	pending  []streamRecord
	writing  bool
	failing  bool           // the last transaction failed
	written  []streamRecord // within streamRetention, in the order of their time
	lease    int64          // of the records, 0 if none is usable
	leasedAt time.Time
}

// streamRecord is the software version that began a stream.
type streamRecord struct {
	key     string
	version string
	at      time.Time
	done    chan struct{} // closed when it is written
}

// errStoreFailing reports that a record is not written before the store responds again.
var errStoreFailing = errors.New("gateway: the last records of streams were not written")

// record writes a record and waits until it is written, at most for recordTimeout, and not at all while the store fails. A
// record that is not written by then is still written later.
func (s *streamRecorder) record(ctx context.Context, key, version string) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	r := streamRecord{key: key, version: version, at: s.host.Now(), done: make(chan struct{})}
	s.add(r)
	s.mu.Lock()
	failing := s.failing
	s.mu.Unlock()
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
		err := s.commit(ctx, batch)
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
	return s.pending[:min(len(s.pending), maxRecordBatch)]
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
