package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"citronspread/membership"
	"citronspread/model"
	"citronspread/peer"
	"citronspread/routing"
	"citronspread/store"
)

// Prefixes of keys that tell which software version of a service began a stream.
const (
	baseSoftwarePrefix = "citronspread/software/" // by service: the version of streams without a record
	// StreamPrefix begins the keys that tell, by stream, which version began it. They are bound to leases. A host reads the one that
	// it needs, and no others.
	StreamPrefix = "citronspread/stream/"
)

const (
	// softwareInterval is the time between two checks of the base versions.
	softwareInterval = 500 * time.Millisecond
	// streamRetention is how long the version of a stream is known after it began. Callers wait half as long at most.
	streamRetention = time.Minute
	// maxUnseenTime is how long a host may be without the changes of the store and still know which versions have served: it
	// takes longer until a backend server has joined, begun streams and left the list.
	maxUnseenTime = 5 * time.Second
	// baseRepeatDelay is how long hosts wait until they write a base version in place of its leader.
	baseRepeatDelay = 2 * time.Second
	// softwareLookUpTimeout limits the read of a stream's record.
	softwareLookUpTimeout = time.Second
)

// BaseSoftware is the record of the base version of a service: streams that began at another one have records of their own.
// The record with the highest term is valid, also after the store was restored with an earlier one.
type BaseSoftware struct {
	Version string
	Term    int64
}

// serviceSoftware holds the software versions of a service's backend servers.
type serviceSoftware struct {
	Base    BaseSoftware   // Term 0 if none is recorded yet
	Serving map[string]int // number of backend servers that take new requests, by version
	Mixed   bool           // another version than the base, or several, have served within streamRetention
	Stated  bool           // some backend server has stated a version
}

// needsRecord reports whether a stream that begins at the version must be recorded.
func (s serviceSoftware) needsRecord(version string) bool {
	if version == "" {
		return false
	}
	return s.Base.Term == 0 && s.Mixed || s.Base.Term > 0 && version != s.Base.Version
}

// isOnlyVersion reports whether all streams that can still be taken up have begun at one version. While no base is
// recorded, streams may have begun at others before this host started.
func (s serviceSoftware) isOnlyVersion() bool { return s.Base.Term > 0 && !s.Mixed }

// anyNeedsRecord reports whether streams that begin at some version that serves must be recorded.
func (s serviceSoftware) anyNeedsRecord() bool {
	for version, backends := range s.Serving {
		if backends > 0 && s.needsRecord(version) {
			return true
		}
	}
	return false
}

// unrecorded returns the version of streams without a record, empty if it is not known.
func (s serviceSoftware) unrecorded() string {
	if s.Base.Term == 0 && len(s.Serving) == 1 {
		for version := range s.Serving {
			return version
		}
	}
	return s.Base.Version
}

// softwareTracker follows the software versions of the services. It is used by the control thread only.
type softwareTracker struct {
	startedAt time.Time
	checkedAt time.Time
	bases     map[string]BaseSoftware
	stored    map[string]storedBase
	servedAt  map[string]map[string]time.Time // by service and version: when it was last listed
	isNew     map[string]bool                 // services that had no base when this host first saw them, and so no streams before
	writing   bool
	changed   bool
	era       storeEra
}

// storedBase is what the store contains of a base version.
type storedBase struct {
	term     int64
	revision int64
}

func newSoftwareTracker() *softwareTracker {
	return &softwareTracker{bases: make(map[string]BaseSoftware), stored: make(map[string]storedBase), servedAt: make(map[string]map[string]time.Time), isNew: make(map[string]bool)}
}

// apply applies a record of the store. If a restored store has lost a record, two hosts may have written the same term: then
// the record that the store has is valid.
func (t *softwareTracker) apply(service string, record BaseSoftware, revision int64) {
	t.stored[service] = storedBase{term: record.Term, revision: revision}
	if record.Term >= t.bases[service].Term && record != t.bases[service] {
		t.bases[service] = record
		t.changed = true
	}
}

// relisted removes what a complete list of the store lacks.
func (t *softwareTracker) relisted(listed map[string]bool) {
	maps.DeleteFunc(t.stored, func(service string, _ storedBase) bool { return !listed[service] })
}

// forget records that versions may have served until now that this host has not seen.
func (t *softwareTracker) forget(now time.Time) {
	t.startedAt = now
	clear(t.isNew)
	t.changed = true
}

// observe records the versions that are listed now, and forgets those that were not within streamRetention.
func (t *softwareTracker) observe(now time.Time, listed map[string]map[string]int) {
	if t.startedAt.IsZero() {
		t.startedAt = now
	}
	for service, versions := range listed {
		if t.servedAt[service] == nil {
			t.servedAt[service] = make(map[string]time.Time)
			t.isNew[service] = t.bases[service].Term == 0 && t.era.isSettled(now)
		}
		for version := range versions {
			t.servedAt[service][version] = now
		}
	}
	for service, versions := range t.servedAt {
		maps.DeleteFunc(versions, func(_ string, at time.Time) bool { return now.Sub(at) > streamRetention })
		if len(versions) == 0 && listed[service] == nil {
			delete(t.servedAt, service)
			delete(t.isNew, service)
		}
	}
}

// due returns the base version to write for a service, if any: the most common version when there is no base, or none of
// its backend servers has been listed for streamRetention; the known one when the store has an earlier one.
func (t *softwareTracker) due(now time.Time, service string, versions map[string]int) (BaseSoftware, bool) {
	base, stored := t.bases[service], t.stored[service]
	switch {
	case base.Term > stored.term:
		return base, true
	case len(versions) == 0:
		return BaseSoftware{}, false
	case base.Term > 0:
		servedAt, served := t.servedAt[service][base.Version]
		if !served {
			servedAt = t.startedAt
		}
		if now.Sub(servedAt) <= streamRetention {
			return BaseSoftware{}, false
		}
	}
	common := slices.MaxFunc(slices.Sorted(maps.Keys(versions)), func(a, b string) int {
		return cmp.Or(cmp.Compare(versions[a], versions[b]), cmp.Compare(b, a))
	})
	return BaseSoftware{Version: common, Term: base.Term + 1}, true
}

// isLost reports whether a restored store has an earlier base version than this host knows, and its leader has not written it
// for baseRepeatDelay. The leader may have started since and not know it.
func (t *softwareTracker) isLost(now time.Time, service string) bool {
	return t.bases[service].Term > t.stored[service].term && now.Sub(t.era.since) > baseRepeatDelay
}

// isMixed reports whether a stream of the service that began within streamRetention may have begun at another version than
// the base, or than the only one.
func (t *softwareTracker) isMixed(now time.Time, service string) bool {
	if !t.isNew[service] && now.Sub(t.startedAt) < streamRetention {
		return true
	}
	recent, base := 0, t.bases[service]
	for version, at := range t.servedAt[service] {
		if now.Sub(at) < streamRetention {
			recent++
			if base.Term > 0 && version != base.Version {
				return true
			}
		}
	}
	return recent > 1
}

// listedSoftware returns the number of backend servers by service and version, of all that are listed and of those that
// take new requests. Backend servers that state no version are not counted.
func (h *Host) listedSoftware() (listed, serving map[string]map[string]int) {
	listed, serving = make(map[string]map[string]int), make(map[string]map[string]int)
	for _, b := range h.view.backends {
		l := b.listing
		if listed[l.Service] == nil {
			listed[l.Service], serving[l.Service] = make(map[string]int), make(map[string]int)
		}
		if l.Software == "" {
			continue
		}
		listed[l.Service][l.Software]++
		if b.isUsable() {
			serving[l.Service][l.Software]++
		}
	}
	return listed, serving
}

// stepSoftware publishes the software versions and writes the base versions that are due. One host writes each.
func (h *Host) stepSoftware(now time.Time) {
	t := h.software
	if !h.viewChanged && len(h.view.changed) == 0 && !t.changed && now.Sub(t.checkedAt) < softwareInterval {
		return
	}
	listed, serving := h.listedSoftware()
	t.observe(now, listed)
	published := make(map[string]serviceSoftware, len(listed))
	for service, versions := range t.servedAt {
		published[service] = serviceSoftware{Base: t.bases[service], Serving: serving[service], Mixed: t.isMixed(now, service), Stated: len(versions) > 0}
	}
	h.serviceSoftware.Store(&published)
	h.settledEra.Store(t.era.settled(now))
	t.changed = false
	if t.writing || !h.registered || now.Sub(t.checkedAt) < softwareInterval {
		return
	}
	t.checkedAt = now
	if leader, found := membership.Leader(h.table.Live(), settledEraKey); found && leader.Name == h.Name && t.era.isDue(now) {
		h.writeSettledEra(t.era.current)
		return
	}
	for service, versions := range listed {
		leader, found := membership.Leader(h.table.Live(), "software/"+service)
		if !found || leader.Name != h.Name && !t.isLost(now, service) {
			continue
		}
		if base, due := t.due(now, service, versions); due {
			h.writeBaseSoftware(service, base)
			return
		}
	}
}

// writeBaseSoftware writes the base version of a service. Its outcome arrives through the watch.
func (h *Host) writeBaseSoftware(service string, base BaseSoftware) {
	h.software.writing = true
	key, expected := baseSoftwarePrefix+service, h.software.stored[service].revision
	h.spawn(func(ctx context.Context) {
		h.Metrics.CountStoreCall("transaction", "software")
		revision, err := h.Store.Commit(ctx, store.Transaction{
			Expected: []store.Entry{{Key: key, Revision: expected}},
			Writes:   []store.Write{{Key: key, Value: encode(base)}},
		})
		h.post(func(now time.Time) {
			h.software.writing = false
			h.Log.Info("base software version written", zap.String("Service", service), zap.String("Version", base.Version), zap.Int64("Term", base.Term), zap.Error(err))
			if err == nil && store.Era(revision) == h.table.Era {
				h.software.apply(service, base, revision)
				return
			}
			h.enterEraOf(now, err)
		})
	})
}

// isServiceListed reports whether some backend server of a service has been listed within streamRetention.
func (d *Dispatcher) isServiceListed(service string) bool {
	published := d.host.serviceSoftware.Load()
	if published == nil {
		return false
	}
	_, listed := (*published)[service]
	return listed
}

// softwareOfService returns the software versions of a service as last published.
func (d *Dispatcher) softwareOfService(service string) serviceSoftware {
	published := d.host.serviceSoftware.Load()
	if published == nil {
		return serviceSoftware{}
	}
	return (*published)[service]
}

// FindSoftware returns the software version at which a stream that its caller takes up may go on, empty for any. It returns
// a *routing.RefusedError if the version can't be known now.
func (d *Dispatcher) FindSoftware(ctx context.Context, r RoutedRequest) (version string, err error) {
	h, s := d.host, d.softwareOfService(r.Service)
	isOutdated := h.history.isOutdated(h.Now())
	if !d.isServiceListed(r.Service) {
		h.Log.Info("software version of a stream not known, no backend server is listed", zap.String("Request", r.ID), zap.String("Service", r.Service))
		return "", &routing.RefusedError{Reason: routing.ReasonSoftware, RetryAfter: softwareInterval}
	}
	if !s.Stated {
		return "", nil
	}
	if s.isOnlyVersion() && !isOutdated {
		return s.Base.Version, nil // another version may begin to serve while the request waits
	}
	source := ""
	if r.Resumes == "" {
		err = &routing.RefusedError{Reason: routing.ReasonSoftware}
	} else {
		version, source, err = d.lookUpSoftware(ctx, r, isOutdated)
	}
	var unknown *softwareUnknownError
	var lost *recordLostError
	if !s.Mixed && errors.As(err, &unknown) && !errors.As(err, &lost) {
		// No host has learned of another version since the store failed.
		if version = s.unrecorded(); version != "" {
			source, err = "outage", nil
		}
	}
	h.Log.Info("software version of a stream", zap.String("Request", r.ID), zap.String("Resumes", r.Resumes), zap.String("Service", r.Service),
		zap.String("Software", version), zap.String("Source", source), zap.Int64("Term", s.Base.Term), zap.Int("Serving", s.Serving[version]),
		zap.Bool("Outdated", isOutdated), zap.Error(err))
	if err != nil {
		return "", &routing.RefusedError{Reason: routing.ReasonSoftware, RetryAfter: softwareInterval}
	}
	return version, nil
}

// softwareUnknownError reports that an entry host does not know the software version of a stream.
type softwareUnknownError struct {
	Service string
	Address string // peer address of the host
}

func (e *softwareUnknownError) Error() string {
	return fmt.Sprintf("gateway: the host at %s does not know the software version of a stream of %s", e.Address, e.Service)
}

// recordLostError reports that a stream has no record, but may have had one before the store was restored.
type recordLostError struct {
	Service string
	Era     int64 // of the store
}

func (e *recordLostError) Error() string {
	return fmt.Sprintf("gateway: the record of a stream of %s may have been lost before era %d of the store", e.Service, e.Era)
}

// lookUpSoftware reads the software version of a stream from the store, or asks other hosts for it if the store does not
// respond to this host. isOutdated reports that this host may not know what the service serves now.
func (d *Dispatcher) lookUpSoftware(ctx context.Context, r RoutedRequest, isOutdated bool) (version, source string, err error) {
	ctx, cancel := context.WithTimeout(ctx, softwareLookUpTimeout)
	defer cancel()
	request, delay := &peer.FindSoftwareRequest{Service: r.Service, Key: streamKey(r.Resumes)}, helpDelay
	if isOutdated {
		delay = 0
	}
	reply, err := firstSuccess(ctx, delay, func(ctx context.Context) (*peer.FindSoftwareReply, error) {
		return d.readSoftware(ctx, request)
	}, func(ctx context.Context) (*peer.FindSoftwareReply, error) {
		return callHelpers(ctx, d.host, func(ctx context.Context, address string) (*peer.FindSoftwareReply, error) {
			reply, err := d.host.Peers.FindSoftware(ctx, address, request)
			switch {
			case err != nil || reply.Known:
				return reply, err
			case reply.RecordLost:
				return nil, &recordLostError{Service: r.Service, Era: d.host.Store.Era()}
			}
			return nil, &softwareUnknownError{Service: r.Service, Address: address}
		})
	})
	if err != nil {
		return "", "", err
	}
	return reply.Version, reply.Source, nil
}

// readSoftware reads the software version of a stream from the store. It returns a *recordLostError for a stream without a
// record that may have begun before the store was restored.
func (d *Dispatcher) readSoftware(ctx context.Context, request *peer.FindSoftwareRequest) (*peer.FindSoftwareReply, error) {
	settled := d.host.settledEra.Load()
	d.host.Metrics.CountStoreCall("key", "stream")
	entry, err := d.host.Store.Get(ctx, request.Key)
	if restored := err; isRestored(restored) {
		d.host.post(func(now time.Time) { d.host.enterEraOf(now, restored) })
		entry, err = d.host.Store.Get(ctx, request.Key)
	}
	if err != nil {
		return nil, err
	}
	reply := &peer.FindSoftwareReply{Known: true, Version: string(entry.Value), Source: "record"}
	if entry.Revision == 0 {
		if era := d.host.Store.Era(); settled != era {
			return nil, &recordLostError{Service: request.Service, Era: era}
		}
		reply.Version, reply.Source = d.softwareOfService(request.Service).unrecorded(), "base"
	}
	if reply.Version == "" {
		return nil, &softwareUnknownError{Service: request.Service, Address: d.host.PeerAddress}
	}
	return reply, nil
}

// findSoftwareForOther returns the software version of a stream to another host. It does not know the version if its own view
// is outdated.
func (d *Dispatcher) findSoftwareForOther(ctx context.Context, request *peer.FindSoftwareRequest) (*peer.FindSoftwareReply, error) {
	if d.host.history.isOutdated(d.host.Now()) {
		return &peer.FindSoftwareReply{}, nil
	}
	if s := d.softwareOfService(request.Service); s.isOnlyVersion() {
		return &peer.FindSoftwareReply{Known: true, Version: s.Base.Version, Source: "only version"}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, softwareLookUpTimeout)
	defer cancel()
	reply, err := d.readSoftware(ctx, request)
	if err != nil {
		d.host.Log.Info("software version of a stream not found for another host", zap.String("Service", request.Service), zap.Error(err))
	}
	var lost *recordLostError
	if errors.As(err, &lost) {
		return &peer.FindSoftwareReply{RecordLost: true}, nil
	}
	return reply, err
}

// softwareToBegin returns the software version at which a stream has to begin, empty for any. While streams can't be
// recorded, that is the version of streams without a record, unless no backend server of it serves: then a stream without
// a record goes on nowhere else.
func (d *Dispatcher) softwareToBegin(r RoutedRequest) (version string, err error) {
	h, s := d.host, d.softwareOfService(r.Service)
	if !h.streams.isFailing(h.Now()) || !s.anyNeedsRecord() {
		return "", nil
	}
	version = s.unrecorded()
	h.Log.Info("stream begins at the base software version", zap.String("Request", r.ID), zap.String("Service", r.Service),
		zap.String("Software", version), zap.Int64("Term", s.Base.Term), zap.Int("Serving", s.Serving[version]))
	switch {
	case version == "":
		return "", &routing.RefusedError{Reason: routing.ReasonSoftware, RetryAfter: softwareInterval}
	case s.Serving[version] == 0:
		return "", nil
	}
	return version, nil
}

// UnrecordedError reports that a stream must not begin at a software version because its record was not written.
type UnrecordedError struct {
	Version   string
	Withdrawn bool // the record will not be written either, so that the stream may begin at another version
	Cause     error
}

func (e *UnrecordedError) Error() string {
	return fmt.Sprintf("gateway: stream at software version %s not recorded: %v", e.Version, e.Cause)
}

func (e *UnrecordedError) Unwrap() error { return e.Cause }

// RecordStream records the software version that begins a stream. It returns when the record is written, and an
// *UnrecordedError if that takes longer than recordTimeout and the stream could then be continued at the base version. A
// stream of the base version is recorded only while the store's era is not settled, and does not wait for that.
func (d *Dispatcher) RecordStream(ctx context.Context, r RoutedRequest, version string) error {
	s := d.softwareOfService(r.Service)
	if version != "" && s.Base.Term == 0 {
		if base, err := d.ensureBase(ctx, r.Service, version); err == nil {
			s.Base = base
		}
	}
	if version == "" {
		return nil
	}
	if !s.needsRecord(version) {
		d.host.streams.begin(streamKey(r.ID), version, !d.host.isEraSettled())
		return nil
	}
	startedAt := d.host.Now()
	err := d.host.streams.record(ctx, streamKey(r.ID), version)
	if err == nil {
		return nil
	}
	goesOnNowhere := s.Base.Term > 0 && s.Serving[s.Base.Version] == 0
	withdrawn := !goesOnNowhere && d.host.streams.withdraw(streamKey(r.ID))
	d.host.Log.Warn("software version of a stream not recorded yet", zap.String("Request", r.ID), zap.String("Software", version),
		zap.Bool("Delivered", goesOnNowhere), zap.Bool("Withdrawn", withdrawn), zap.Duration("Waited", d.host.Now().Sub(startedAt)), zap.Error(err))
	if goesOnNowhere {
		return nil
	}
	return &UnrecordedError{Version: version, Withdrawn: withdrawn, Cause: err}
}

// deliveryOf returns the function that records that a stream was delivered completely, nil if no record names it.
func (d *Dispatcher) deliveryOf(r RoutedRequest) func(now time.Time) {
	if r.Route.Kind != model.RouteStream || !r.Route.Resumable {
		return nil
	}
	key := streamKey(r.ID)
	if r.TakenUp {
		key = streamKey(r.Resumes)
	}
	return func(now time.Time) { d.host.streams.deliver(now, key) }
}

// streamKey returns the key of a stream's record by the ID of the request that brought its first event.
func streamKey(id string) string {
	return StreamPrefix + strconv.FormatUint(xxhash.Sum64String(id), 16)
}
