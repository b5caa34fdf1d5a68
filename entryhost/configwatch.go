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

// Configuration in the platform's store.
const (
	configPrefix     = "config/"
	configurationKey = "configuration" // rendezvous key of the hosts that watch
	watcherCount     = 2               // entry hosts of a zone that watch the store
	watchTimeout     = 20 * time.Second
	watchRetry       = 500 * time.Millisecond
	watcherPoll      = time.Second
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
	}
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
	e.listAndWatch(ctx)
	for ctx.Err() == nil {
		if e.isWatcher(ctx) {
			e.listAndWatch(ctx)
			continue
		}
		pause(ctx, watcherPoll)
	}
	return nil
}

// listAndWatch lists all records and watches them while this host is a watcher.
func (e *edge) listAndWatch(ctx context.Context) {
	revision, err := e.listRecords(ctx)
	for err == nil && ctx.Err() == nil && e.isWatcher(ctx) {
		revision, err = e.watchRecords(ctx, revision)
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
	e.post(ctx, recordsSeen{entries: change.Entries})
	return change.Revision, nil
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
