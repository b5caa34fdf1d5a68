package entryhost

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"citronspread/gossip"
	"citronspread/ledger"
	"citronspread/membership"
	"citronspread/model"
	"citronspread/record"
	"citronspread/store"
)

// Configuration in the platform's store.
const (
	configPrefix     = "config/"
	configurationKey = "configuration" // rendezvous key of the hosts that watch
	watcherCount     = 2               // entry hosts of a zone that watch the store
	watchTimeout     = 20 * time.Second
	watchRetry       = 500 * time.Millisecond
	watcherPoll      = time.Second
	restoreNewsTime  = time.Minute // a host that starts later has no claims from before the restore
	relistPeriod     = time.Minute // a restored store may have passed the watched revision unseen
)

// heldRecord is the newest valid version of an operators' record.
type heldRecord struct {
	Record      model.Record
	Declaration model.Declaration
	AppliedAt   time.Time
}

// invalidRecord is a newer version that is not in force because it is not valid.
type invalidRecord struct {
	Name       string
	Generation int64
	Problem    string
}

// configuration holds the records in force. Only rising ranks are applied, so a record never reverts.
type configuration struct {
	records []heldRecord // sorted by name
	models  []declared   // what they declare, sorted by key
	isKnown bool         // all records were read from the store, or a peer holds the same
	invalid []invalidRecord
	applied int64
}

func configItem(r model.Record, encode func(any) []byte) gossip.Item {
	return gossip.Item{
		ID:    gossip.ItemID{Kind: gossip.KindConfig, Key: r.Name},
		Rank:  gossip.Rank{Major: r.Order(), Minor: r.Generation, Tie: r.Nonce},
		Value: encode(r),
	}
}

// isValid reports whether an item holds a record that can be put in force.
func (s *configuration) isValid(c *control, item gossip.Item) bool {
	r, err := decodeRecord(item)
	if err == nil {
		_, err = record.Decode(r)
	}
	if err == nil {
		return true
	}
	s.noteInvalid(c, invalidRecord{Name: item.ID.Key, Generation: item.Rank.Minor, Problem: err.Error()})
	return false
}

func (s *configuration) noteInvalid(c *control, invalid invalidRecord) {
	if slices.Contains(s.invalid, invalid) {
		return
	}
	s.invalid = slices.DeleteFunc(s.invalid, func(r invalidRecord) bool { return r.Name == invalid.Name })
	s.invalid = append(s.invalid, invalid)
	c.metrics.invalidRecords.Add(1)
	c.log.Warn("record not valid", zap.String("Record", invalid.Name), zap.Int64("Generation", invalid.Generation), zap.String("Problem", invalid.Problem))
}

// apply puts an accepted item in force.
func (s *configuration) apply(c *control, now time.Time, item gossip.Item) {
	r, err := decodeRecord(item)
	if err != nil {
		return
	}
	declaration, err := record.Decode(r)
	if err != nil {
		return
	}
	i, found := slices.BinarySearchFunc(s.records, r.Name, compareRecordName)
	held := heldRecord{Record: r, Declaration: declaration, AppliedAt: now}
	if !found {
		s.records = slices.Insert(s.records, i, held)
	} else {
		c.checkRising(s.records[i].Record, r)
		s.records[i] = held
	}
	s.invalid = slices.DeleteFunc(s.invalid, func(n invalidRecord) bool { return n.Name == r.Name && n.Generation <= r.Generation })
	s.models = declaredModels(s.records)
	s.applied++
	c.log.Info("record in force", zap.String("Record", r.Name), zap.Int64("Generation", r.Generation),
		zap.Duration("Age", now.Sub(r.WrittenAt)), zap.Bool("Retired", r.Retired))
}

// checkRising asserts that a record in force is only replaced by a newer one.
func (c *control) checkRising(held, next model.Record) {
	if next.Newer(held) {
		return
	}
	c.violation(ledger.Violation{Invariant: "configuration never reverts", Detail: held.Name})
}

func compareRecordName(held heldRecord, name string) int {
	return strings.Compare(held.Record.Name, name)
}

// declared is a model version with the service that may run it.
type declared struct {
	service     string
	declaration model.ModelDeclaration
}

// declaredModels returns the declared model versions, one entry each, sorted by key.
// Where several records name one, the largest numbers count.
func declaredModels(records []heldRecord) []declared {
	var models []declared
	for _, held := range records {
		for _, m := range held.Declaration.Models {
			models = mergeDeclared(models, declared{service: held.Declaration.Service, declaration: m})
		}
	}
	slices.SortFunc(models, func(a, b declared) int { return compareKeys(a.declaration.Key, b.declaration.Key) })
	return models
}

func compareKeys(a, b model.ModelKey) int {
	return cmp.Or(strings.Compare(a.Model, b.Model), strings.Compare(a.Version, b.Version))
}

func mergeDeclared(models []declared, added declared) []declared {
	for i, m := range models {
		if m.declaration.Key != added.declaration.Key {
			continue
		}
		merged := m.declaration
		merged.Replicas = max(merged.Replicas, added.declaration.Replicas)
		merged.Warm = max(merged.Warm, added.declaration.Warm)
		merged.Bytes = max(merged.Bytes, added.declaration.Bytes)
		merged.Priority = max(merged.Priority, added.declaration.Priority)
		merged.Adapters = union(merged.Adapters, added.declaration.Adapters)
		models[i].declaration = merged
		return models
	}
	return append(models, added)
}

func union(a, b []string) []string {
	joined := slices.Concat(a, b)
	slices.Sort(joined)
	return slices.Compact(joined)
}

// find returns the declaration of a model version.
func (s *configuration) find(key model.ModelKey) (declared, bool) {
	i, found := slices.BinarySearchFunc(s.models, key, func(m declared, key model.ModelKey) int {
		return compareKeys(m.declaration.Key, key)
	})
	if !found {
		return declared{}, false
	}
	return s.models[i], true
}

// applySources tells the ledger what the records in force decide.
func (c *control) applySources(now time.Time) {
	c.step(now, ledger.SourcesChanged{Models: c.modelSources(now), Records: c.recordGenerations()})
}

func (c *control) modelSources(now time.Time) []ledger.ModelSources {
	staying := c.members.Staying(now)
	var sources []ledger.ModelSources
	for _, m := range c.configuration.models {
		key := m.declaration.Key
		lead, _ := membership.Lead(staying, key.String())
		sources = append(sources, ledger.ModelSources{
			Key:      key,
			Sources:  c.sourcesOf(key),
			Bytes:    m.declaration.Bytes,
			Adapters: m.declaration.Adapters,
			Lead:     lead.Name == c.self.Name,
		})
	}
	return sources
}

func (c *control) sourcesOf(key model.ModelKey) []model.Source {
	var sources []model.Source
	for _, held := range c.configuration.records {
		for _, m := range held.Declaration.Models {
			if m.Key == key {
				sources = append(sources, model.Source{Record: held.Record.Name, Generation: held.Record.Order(), Replicas: m.Replicas})
			}
		}
	}
	return sources
}

func (c *control) recordGenerations() []ledger.RecordGeneration {
	var generations []ledger.RecordGeneration
	for _, held := range c.configuration.records {
		generations = append(generations, ledger.RecordGeneration{Record: held.Record.Name, Generation: held.Record.Order()})
	}
	return generations
}

func decodeRecord(item gossip.Item) (model.Record, error) {
	var r model.Record
	if err := unmarshal(item.Value, &r); err != nil {
		return r, errors.Wrap(err, "entryhost: record")
	}
	return r, nil
}

// recordsSeen holds records that were read from the store.
type recordsSeen struct {
	entries []store.Entry
	whole   bool // all records of the store, not only those that changed
}

func (e recordsSeen) apply(c *control, now time.Time) {
	var items []gossip.Item
	for _, entry := range e.entries {
		var r model.Record
		if err := json.Unmarshal(entry.Value, &r); err != nil || configPrefix+r.Name != entry.Key {
			c.configuration.noteInvalid(c, invalidRecord{Name: strings.TrimPrefix(entry.Key, configPrefix), Problem: "not a record"})
			continue
		}
		items = append(items, configItem(r, c.encode))
	}
	c.merge(now, items)
	if e.whole {
		c.configuration.isKnown = true
		c.isSnapshotStale = true
		c.repairRecords(e.entries)
	}
}

// repairRecords writes records back that the store lost when it came back with older data.
func (c *control) repairRecords(entries []store.Entry) {
	for _, held := range c.configuration.records {
		entry, found := findEntry(entries, configPrefix+held.Record.Name)
		var stored model.Record
		if found && (json.Unmarshal(entry.Value, &stored) != nil || !held.Record.Newer(stored)) {
			continue
		}
		c.metrics.repairedRecords.Add(1)
		c.log.Warn("record written back", zap.String("Record", held.Record.Name), zap.Int64("Generation", held.Record.Generation))
		c.edge.writeBack(held.Record, entry.Revision)
	}
}

func findEntry(entries []store.Entry, key string) (store.Entry, bool) {
	for _, e := range entries {
		if e.Key == key {
			return e, true
		}
	}
	return store.Entry{}, false
}

func (e *edge) writeBack(r model.Record, revision int64) {
	value, err := json.Marshal(r)
	if err != nil {
		return
	}
	e.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, e.storeTimeout)
		defer cancel()
		if _, err := e.store.CompareAndSwap(ctx, configPrefix+r.Name, value, revision); err != nil {
			e.log.Warn("record not written back", zap.String("Record", r.Name), zap.Error(err))
		}
	})
}

// watcherAsked asks the control thread whether this host watches the store.
type watcherAsked struct {
	reply chan bool
}

func (e watcherAsked) apply(c *control, now time.Time) {
	ranked := membership.Ranked(c.members.Staying(now), configurationKey)
	e.reply <- c.isAmong(ranked, watcherCount)
}

// watchConfiguration reads all records at the start, then watches them while this host is one of the zone's watchers.
func (e *edge) watchConfiguration(ctx context.Context) error {
	e.watchUntilRelist(ctx)
	for ctx.Err() == nil {
		if e.isWatcher(ctx) {
			e.watchUntilRelist(ctx)
			continue
		}
		pause(ctx, watcherPoll)
	}
	return nil
}

// watchUntilRelist lists all records and watches them while this host is a watcher, until they are to be listed again.
func (e *edge) watchUntilRelist(ctx context.Context) {
	revision, err := e.listRecords(ctx)
	if err == nil {
		e.noteRevision(ctx, revision)
	}
	relist, cancel := context.WithTimeout(ctx, relistPeriod)
	defer cancel()
	for err == nil && relist.Err() == nil && e.isWatcher(relist) {
		if revision, err = e.watchRecords(relist, revision); err == nil {
			e.noteRevision(ctx, revision)
		}
	}
	if err != nil {
		pause(ctx, watchRetry)
	}
}

func (e *edge) listRecords(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, e.storeTimeout)
	defer cancel()
	listing, err := e.store.List(ctx, configPrefix)
	if err != nil {
		return 0, err
	}
	e.post(ctx, recordsSeen{entries: listing.Entries, whole: true})
	return listing.Revision, nil
}

// watchRecords waits for changes after a revision and returns the new one.
func (e *edge) watchRecords(ctx context.Context, revision int64) (int64, error) {
	change, err := e.store.Watch(ctx, configPrefix, revision, watchTimeout)
	if err != nil {
		return 0, err
	}
	isRestored := change.Revision < revision
	e.post(ctx, recordsSeen{entries: change.Entries, whole: isRestored})
	return change.Revision, nil
}

// noteRevision tells the control thread when the store's revision fell: it came back with older data.
func (e *edge) noteRevision(ctx context.Context, revision int64) {
	if revision < e.lastRevision {
		e.post(ctx, storeRestored{})
	}
	e.lastRevision = revision
}

// storeRestored tells that the store came back with older data.
type storeRestored struct{}

// apply tells all entry hosts, since each has claims of its own to write again.
func (storeRestored) apply(c *control, now time.Time) {
	c.log.Warn("store came back with older data")
	c.put(now, gossip.Item{
		ID:        gossip.ItemID{Kind: gossip.KindRestore},
		Rank:      gossip.Rank{Major: now.UnixMicro(), Tie: c.self.Name},
		ExpiresAt: now.Add(restoreNewsTime),
	})
}

func (e *edge) isWatcher(ctx context.Context) bool {
	reply := make(chan bool, 1)
	e.post(ctx, watcherAsked{reply: reply})
	select {
	case isWatcher := <-reply:
		return isWatcher
	case <-ctx.Done():
		return false
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
