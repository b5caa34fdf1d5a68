package entryhost

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"citronspread/gossip"
	"citronspread/model"
	"citronspread/store"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// fakeStore is a store without entries that collects the records written to it.
type fakeStore struct {
	Store
	mu      sync.Mutex
	written []model.Record
}

func (f *fakeStore) Get(_ context.Context, key string) (store.Entry, error) {
	return store.Entry{}, &store.NotFoundError{Key: key}
}

func (f *fakeStore) CompareAndSwap(_ context.Context, key string, value []byte, _ int64) (int64, error) {
	if !strings.HasPrefix(key, configPrefix) {
		return 1, nil
	}
	var r model.Record
	if err := json.Unmarshal(value, &r); err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.written = append(f.written, r)
	return 1, nil
}

type discardSink struct{}

func (discardSink) PublishSnapshot(*model.Snapshot) {}

// newTestControl returns the control state of a host that opens no sockets.
func newTestControl(name string, platform Store) *control {
	self := model.Peer{Name: name, Zone: "sialkot-a", Address: name + ":1", Incarnation: model.Incarnation(name + "/1")}
	h := &Host{Name: name, Zone: self.Zone, PeerAddress: self.Address, Log: zap.NewNop()}
	h.incarnation = self.Incarnation
	h.metrics = &metrics{startedAt: start}
	h.executor = &executor{
		store: platform, sink: discardSink{}, log: h.Log, metrics: h.metrics, self: self,
		events: make(chan event, eventQueueSize), ctx: context.Background(),
		engines: make(map[string]Engine), engineAddresses: make(map[string]string), storeTimeout: time.Second,
	}
	return h.newControl(self)
}

func newRecord(generation int64, replicas int, nonce string) model.Record {
	body := fmt.Sprintf("SchemaVersion: 1\nName: scribe\nService: link-scribe\nModel: scribe-7b\nVersion: v1\n"+
		"MemoryMB: 8000\nReplicas: %d\nPriority: Normal\nAdapters: []\n", replicas)
	return model.Record{
		Name: "scribe", SchemaVersion: 1, Generation: generation, Nonce: nonce, Body: []byte(body),
		WrittenAt: start.Add(time.Duration(generation) * time.Second),
	}
}

func storeEntry(t interface{ Fatal(...any) }, r model.Record) store.Entry {
	value, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	return store.Entry{Key: configPrefix + r.Name, Value: value, Revision: r.Generation}
}

func (c *control) declaredReplicas() int {
	declared, _ := c.configuration.find(model.ModelKey{Model: "scribe-7b", Version: "v1"})
	return declared.declaration.Replicas
}

// TestConfigurationNeverReverts guards against a late read of an older record that replaces the active one.
func TestConfigurationNeverReverts(t *testing.T) {
	platform := &fakeStore{}
	c := newTestControl("a", platform)
	recordsRead{entries: []store.Entry{storeEntry(t, newRecord(3, 5, "x"))}, complete: true}.apply(c, start)
	recordsRead{entries: []store.Entry{storeEntry(t, newRecord(2, 1, "y"))}, complete: true}.apply(c, start)
	if got, want := c.declaredReplicas(), 5; got != want {
		t.Errorf("replicas after an older read: got %d, want %d", got, want)
	}
}

// TestLatestWriteWins guards against comparing records by generation alone: a later write with a lower generation
// must replace the active record.
func TestLatestWriteWins(t *testing.T) {
	c := newTestControl("a", &fakeStore{})
	recordsRead{entries: []store.Entry{storeEntry(t, newRecord(4, 5, "x"))}, complete: true}.apply(c, start)
	written := newRecord(3, 2, "y")
	written.WrittenAt = start.Add(time.Minute)
	recordsRead{entries: []store.Entry{storeEntry(t, written)}, complete: true}.apply(c, start)
	if got, want := c.declaredReplicas(), 2; got != want {
		t.Errorf("replicas: got %d, want %d", got, want)
	}
}

// TestGossipKeepsRecordOrder guards against an encoding that truncates write times to seconds: two writes within a
// second would then compare differently on hosts that received them from a peer.
func TestGossipKeepsRecordOrder(t *testing.T) {
	fromStore, fromPeer := newTestControl("a", &fakeStore{}), newTestControl("b", &fakeStore{})
	written := newRecord(1, 5, "x")
	written.WrittenAt = start.Add(123456 * time.Microsecond)
	recordsRead{entries: []store.Entry{storeEntry(t, written)}}.apply(fromStore, start)
	fromPeer.merge(start, fromStore.table.Items(gossip.KindConfig))
	for _, c := range []*control{fromStore, fromPeer} {
		if got, want := c.recordGenerations()[0].Generation, written.WriteOrder(); got != want {
			t.Errorf("order on %s: got %d, want %d", c.self.Name, got, want)
		}
	}
}

// TestInvalidRecordIsNotApplied guards against an invalid record that replaces the last valid one, or that
// is still reported after a newer valid record was applied.
func TestInvalidRecordIsNotApplied(t *testing.T) {
	c := newTestControl("a", &fakeStore{})
	recordsRead{entries: []store.Entry{storeEntry(t, newRecord(1, 4, "x"))}}.apply(c, start)
	invalid := newRecord(2, 1, "y")
	invalid.Body = []byte("SchemaVersion: 9\n")
	recordsRead{entries: []store.Entry{storeEntry(t, invalid)}}.apply(c, start)
	if got, want := c.declaredReplicas(), 4; got != want {
		t.Errorf("replicas: got %d, want %d", got, want)
	}
	if got, want := len(c.state(start).Invalid), 1; got != want {
		t.Errorf("invalid records in the dump: got %d, want %d", got, want)
	}
	recordsRead{entries: []store.Entry{storeEntry(t, newRecord(3, 2, "z"))}}.apply(c, start)
	if got, want := c.declaredReplicas(), 2; got != want {
		t.Errorf("replicas after a valid record: got %d, want %d", got, want)
	}
	if got, want := len(c.state(start).Invalid), 0; got != want {
		t.Errorf("invalid records in the dump: got %d, want %d", got, want)
	}
}

// TestConfigurationConverges mixes writes, late reads of older records and gossip between hosts in random order.
// No host may revert to an older record, and all hosts must agree after they exchanged everything.
func TestConfigurationConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := []*control{newTestControl("a", &fakeStore{}), newTestControl("b", &fakeStore{}), newTestControl("c", &fakeStore{})}
		highest := make([]model.Record, len(hosts))
		var history []model.Record
		stored := model.Record{}
		host := rapid.IntRange(0, len(hosts)-1)
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				stored = newRecord(stored.Generation+1, rapid.IntRange(0, 9).Draw(t, "replicas"), fmt.Sprint(len(history)))
				stored.WrittenAt = start.Add(time.Duration(len(history)) * time.Second)
				history = append(history, stored)
			},
			"older read": func(t *rapid.T) {
				if len(history) > 0 {
					stored = rapid.SampledFrom(history).Draw(t, "older")
				}
			},
			"watch": func(t *rapid.T) {
				if stored.Generation > 0 {
					recordsRead{entries: []store.Entry{storeEntry(t, stored)}}.apply(hosts[host.Draw(t, "host")], start)
				}
			},
			"gossip": func(t *rapid.T) {
				items := hosts[host.Draw(t, "from")].table.Items(gossip.KindConfig)
				hosts[host.Draw(t, "to")].merge(start, items)
			},
			"": func(t *rapid.T) {
				for i, c := range hosts {
					for _, active := range c.configuration.records {
						if highest[i].Newer(active.Record) {
							t.Fatalf("host %d reverted from generation %d to %d", i, highest[i].Generation, active.Record.Generation)
						}
						highest[i] = active.Record
					}
					if got, want := c.metrics.violations.Load(), int64(0); got != want {
						t.Fatalf("violations: got %d, want %d", got, want)
					}
				}
			},
		})
		for range 2 {
			for i, c := range hosts {
				hosts[(i+1)%len(hosts)].merge(start, c.table.Items(gossip.KindConfig))
			}
		}
		for _, c := range hosts {
			if got, want := c.table.Digest(), hosts[0].table.Digest(); got != want {
				t.Fatalf("table digests of the hosts differ after they exchanged everything")
			}
		}
	})
}
