package entryhost

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"go.uber.org/zap"

	"citronspread/gossip"
	"citronspread/membership"
	"citronspread/model"
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
	e.revisions.Saw(revision)
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
