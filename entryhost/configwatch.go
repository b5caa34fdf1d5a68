package entryhost

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"citronspread/gossip"
	"citronspread/membership"
	"citronspread/model"
	"citronspread/store"
)

// Parameters of reading the configuration records in the platform's store.
const (
	configPrefix        = "config/"
	watcherRankingKey   = "configuration" // key for ranking the hosts that may watch
	watcherCount        = 2               // entry hosts of a zone that watch the store
	watchTimeout        = 20 * time.Second
	watchRetryDelay     = 500 * time.Millisecond
	watcherPollInterval = time.Second
)

// recordsRead holds configuration records that were read from the store.
type recordsRead struct {
	entries  []store.Entry
	complete bool // entries holds all records of the store, not only changed ones
}

func (e recordsRead) apply(c *control, now time.Time) {
	var items []gossip.Item
	for _, entry := range e.entries {
		var r model.Record
		if err := json.Unmarshal(entry.Value, &r); err != nil || configPrefix+r.Name != entry.Key {
			c.configuration.addInvalid(c, invalidRecord{Name: strings.TrimPrefix(entry.Key, configPrefix), Problem: "value is not a record with the name in its key"})
			continue
		}
		items = append(items, configItem(r, c.encode))
	}
	c.merge(now, items)
	if e.complete {
		c.configuration.isComplete = true
		c.isSnapshotStale = true
	}
}

// watcherCheckRequested queries whether this host is one of the zone's watchers.
type watcherCheckRequested struct {
	reply chan bool
}

func (e watcherCheckRequested) apply(c *control, now time.Time) {
	ranked := membership.Ranked(c.members.Staying(now), watcherRankingKey)
	e.reply <- c.isAmongFirst(ranked, watcherCount)
}

// watchConfiguration reads all records at startup, then watches them while this host is one of the zone's watchers.
func (e *executor) watchConfiguration(ctx context.Context) error {
	e.listAndWatch(ctx)
	for ctx.Err() == nil {
		if e.isWatcher(ctx) {
			e.listAndWatch(ctx)
			continue
		}
		sleep(ctx, watcherPollInterval)
	}
	return nil
}

// listAndWatch lists all records, then watches them until an error occurs or this host is no longer a watcher.
func (e *executor) listAndWatch(ctx context.Context) {
	revision, err := e.listRecords(ctx)
	for err == nil && ctx.Err() == nil && e.isWatcher(ctx) {
		revision, err = e.watchRecords(ctx, revision)
	}
	if err != nil {
		sleep(ctx, watchRetryDelay)
	}
}

func (e *executor) listRecords(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, e.storeTimeout)
	defer cancel()
	listing, err := e.store.List(ctx, configPrefix)
	if err != nil {
		return 0, err
	}
	e.post(ctx, recordsRead{entries: listing.Entries, complete: true})
	return listing.Revision, nil
}

// watchRecords waits for changes after a revision and returns the revision of the last change.
func (e *executor) watchRecords(ctx context.Context, revision int64) (int64, error) {
	change, err := e.store.Watch(ctx, configPrefix, revision, watchTimeout)
	if err != nil {
		return 0, err
	}
	e.post(ctx, recordsRead{entries: change.Entries})
	return change.Revision, nil
}

func (e *executor) isWatcher(ctx context.Context) bool {
	reply := make(chan bool, 1)
	e.post(ctx, watcherCheckRequested{reply: reply})
	select {
	case isWatcher := <-reply:
		return isWatcher
	case <-ctx.Done():
		return false
	}
}

// sleep waits for the duration or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
