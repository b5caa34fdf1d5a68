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
	// deferredWritesPerS bounds the transactions that all hosts together make for records that no caller waits for.
	deferredWritesPerS = 100
	// deliveredRetention is how long a stream of the base version is remembered after it was delivered completely. Its
	// caller may have lost the end.
	deliveredRetention = 5 * time.Second
	// maxBegunStreams bounds the streams that a host remembers.
	maxBegunStreams = 10000
)

// streamRecorder writes the software versions of streams to the store, those that begin at the same time together. If the
// store does not respond to this host, other hosts write them. It remembers the streams that have begun at this host, to
// record them again when the store is restored from an older copy.
type streamRecorder struct {
	host *Host

	mu         sync.Mutex
	pending    []streamRecord // that callers wait for, or have waited for
	deferred   []streamRecord // that no caller waits for
	deferUntil time.Time      // when the next transaction with deferred records alone may be made
	writing    bool
	failing    bool           // the last pending records were not written, neither by this host nor by others
	turnedAway bool           // the store did not respond to this host when it last wrote
	helped     int            // transactions for other hosts that are in progress
	begun      []streamRecord // within streamRetention, without those in pending
	era        int64          // of the store, as this host has entered it
	lease      int64          // of the records, 0 if none is usable
	leasedAt   time.Time
	leaseEra   int64         // of the store when it granted the lease
	urgent     chan struct{} // receives when a record becomes pending
}

// streamRecord is the software version that began a stream.
type streamRecord struct {
	key         string
	version     string
	at          time.Time
	sent        bool          // a transaction with it was begun, which may take effect without a response
	done        chan struct{} // closed when it is written
	base        bool          // the version was the base version of the service
	deliveredAt time.Time     // when the stream was delivered completely, zero before
}

// recordBatch are the records of one transaction.
type recordBatch struct {
	records []streamRecord // first those that were pending
	pending int
	era     int64 // of the store when the batch was made
}

func newStreamRecorder(h *Host) *streamRecorder {
	return &streamRecorder{host: h, urgent: make(chan struct{}, 1)}
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

// begin remembers a stream that begins at the base version. It has the stream recorded too if isRecorded is set.
func (s *streamRecorder) begin(key, version string, isRecorded bool) {
	r := streamRecord{key: key, version: version, at: s.host.Now(), base: true}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remember(r.at, r)
	if isRecorded {
		s.deferred = append(s.deferred, r)
		s.startWriting()
	}
}

// deliver records that a stream was delivered completely.
func (s *streamRecorder) deliver(now time.Time, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.IndexFunc(s.begun, func(r streamRecord) bool { return r.key == key }); i >= 0 {
		s.begun[i].deliveredAt = now
	}
}

// remember adds a stream to those that have begun and removes those that can't be taken up any more. The caller holds the
// mutex.
func (s *streamRecorder) remember(now time.Time, r streamRecord) {
	s.begun = append(s.begun, r)
	for len(s.begun) > maxBegunStreams || len(s.begun) > 0 && now.Sub(s.begun[0].at) > streamRetention {
		s.begun = s.begun[1:]
	}
}

// add adds a record to those to be written.
func (s *streamRecorder) add(r streamRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, r)
	s.startWriting()
	select {
	case s.urgent <- struct{}{}:
	default:
	}
}

// startWriting has the records written unless that is in progress. The caller holds the mutex.
func (s *streamRecorder) startWriting() {
	if !s.writing && len(s.pending)+len(s.deferred) > 0 {
		s.writing = true
		s.host.spawn(s.write)
	}
}

// write writes the records until there are none.
func (s *streamRecorder) write(ctx context.Context) {
	for ctx.Err() == nil {
		batch, wait := s.next()
		if wait > 0 {
			s.awaitUrgent(ctx, wait)
			continue
		}
		if len(batch.records) == 0 {
			return
		}
		err := s.commitAnywhere(ctx, batch.records)
		if err == nil {
			s.finish(batch)
			continue
		}
		s.host.Log.Info("streams not recorded", zap.Int("Streams", len(batch.records)), zap.Int("Deferred", len(batch.records)-batch.pending), zap.Error(err))
		s.host.post(func(now time.Time) { s.host.enterEraOf(now, err) })
		s.mu.Lock()
		s.lease, s.failing = 0, s.failing || batch.pending > 0
		s.mu.Unlock()
		sleep(ctx, recordRetryPause)
	}
}

// awaitUrgent waits until a record becomes pending, at most for the duration.
func (s *streamRecorder) awaitUrgent(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	select {
	case <-s.urgent:
	case <-ctx.Done():
	}
}

// next returns the first records that are still of use, or how long to wait for them. If there are none, the writing ends.
func (s *streamRecorder) next() (batch recordBatch, wait time.Duration) {
	now := s.host.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending, s.deferred = withoutExpired(now, s.pending), withoutExpired(now, s.deferred)
	s.writing = len(s.pending)+len(s.deferred) > 0
	s.failing = s.failing && len(s.pending) > 0
	batch.pending, batch.era = min(len(s.pending), maxRecordBatch), s.era
	for i := range batch.pending {
		s.pending[i].sent = true
	}
	batch.records = slices.Clone(s.pending[:batch.pending])
	if rest := min(len(s.deferred), maxRecordBatch-batch.pending); rest > 0 {
		if wait := s.deferUntil.Sub(now); wait > 0 && batch.pending == 0 {
			return recordBatch{}, wait
		}
		batch.records = append(batch.records, s.deferred[:rest]...)
		s.deferUntil = now.Add(time.Duration(max(1, s.host.hosts.live.Load())) * time.Second / deferredWritesPerS)
	}
	return batch, 0
}

// withoutExpired removes the first records, whose streams can't be taken up any more.
func withoutExpired(now time.Time, records []streamRecord) []streamRecord {
	for len(records) > 0 && now.Sub(records[0].at) > streamRetention {
		records = records[1:]
	}
	return records
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
	era := s.host.Store.Era()
	usable := lease != 0 && now.Sub(s.leasedAt) < streamRetention && s.leaseEra == era // a restored store grants leases again
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
	s.lease, s.leasedAt, s.leaseEra = lease, now, era
	return lease, nil
}

// finish removes the records of a batch that was written. It keeps them if the store has been restored since the batch was
// made, which may have lost them.
func (s *streamRecorder) finish(batch recordBatch) {
	now := s.host.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.era != batch.era {
		return
	}
	for _, r := range s.pending[:batch.pending] {
		if r.done != nil {
			close(r.done)
		}
		s.remember(now, streamRecord{key: r.key, version: r.version, at: r.at})
	}
	s.pending, s.failing = s.pending[batch.pending:], false
	s.deferred = s.deferred[len(batch.records)-batch.pending:]
}

// repeat has the streams recorded that may be taken up and whose records the restored store may lack.
func (s *streamRecorder) repeat(era int64) {
	now := s.host.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era, s.lease, s.deferred = era, 0, nil
	for _, r := range s.begun {
		if !r.base || r.deliveredAt.IsZero() || now.Sub(r.deliveredAt) <= deliveredRetention {
			s.deferred = append(s.deferred, r)
		}
	}
	s.deferUntil = time.Time{}
	s.startWriting()
}
