package faults

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"citronspread/model"
	"citronspread/store"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

const (
	configPrefix       = "config/"
	markPrefix         = "mark-" // of an adapter whose name holds the number of the change that wrote the declaration
	modelMemoryMB      = 5000
	maxReplicas        = 3
	recordCount        = 12
	replicaChangeOneIn = 4 // on average, one in this many changes sets a new number of replicas

	popularSeconds = 3  // after which another model is the popular one
	popularShare   = 80 // percent of the requests, for the popular model
	readBackPause  = 300 * time.Millisecond
)

// decision is a change of a record. The accepted ones are stored in configRecord.accepted.
type decision struct {
	number   int // increases with each attempted change
	replicas int
	at       time.Time
}

// configRecord is a configuration record with its accepted changes.
type configRecord struct {
	name          string
	key           model.ModelKey
	schemaVersion int
	changes       int
	replicas      int // of the latest write

	mu       sync.Mutex
	accepted []decision
}

// configuration writes the operators' records to the store.
type configuration struct {
	store   *store.Client
	random  *rand.Rand
	records []*configRecord
}

func newConfiguration(p *platform, random *rand.Rand) *configuration {
	c := &configuration{store: p.storeClient(), random: random}
	for i := range recordCount {
		c.records = append(c.records, &configRecord{
			name: fmt.Sprintf("record-%d", i), schemaVersion: 1 + i%2,
			key: model.ModelKey{Model: fmt.Sprintf("scribe-%d", i), Version: "v1"},
		})
	}
	return c
}

// anyModel returns a random declared model version. One of them receives most of the requests for a few seconds at a
// time.
func (c *configuration) anyModel(random *rand.Rand, now time.Time) model.ModelKey {
	if random.IntN(100) < popularShare {
		popular := int(now.Unix()/popularSeconds) % len(c.records)
		return c.records[popular].key
	}
	return c.records[random.IntN(len(c.records))].key
}

// writeAll writes every record for the first time.
func (c *configuration) writeAll(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	for _, r := range c.records {
		r.replicas = maxReplicas - 1
		for !c.change(ctx, r) {
			if time.Now().After(deadline) {
				return errors.Newf("faults: configuration record %s not written within %s", r.name, startTimeout)
			}
			sleep(ctx, readBackPause)
		}
	}
	return nil
}

// change writes a record and reports whether a change was accepted. The first attempt on a record is made by
// one operator, each later one by two operators concurrently.
func (c *configuration) change(ctx context.Context, r *configRecord) bool {
	current, generation, err := c.read(ctx, r)
	if err != nil {
		return false
	}
	operators := 1 + r.changes%2
	accepted := make([]bool, operators)
	var writing sync.WaitGroup
	for i := range operators {
		r.changes++
		d := decision{number: r.changes, replicas: r.replicas, at: time.Now()}
		writing.Go(func() { accepted[i] = c.write(ctx, r, current, generation+1, d) })
	}
	writing.Wait()
	return slices.Contains(accepted, true)
}

// read returns the revision and the generation of a record, both 0 if it is absent.
func (c *configuration) read(ctx context.Context, r *configRecord) (int64, int64, error) {
	entry, err := c.store.Get(ctx, configPrefix+r.name)
	var notFound *store.NotFoundError
	if errors.As(err, &notFound) {
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, err
	}
	var record model.Record
	err = json.Unmarshal(entry.Value, &record)
	return entry.Revision, record.Generation, err
}

// write writes a change by compare-and-swap, records it if it was accepted and reports whether it was.
func (c *configuration) write(ctx context.Context, r *configRecord, revision, generation int64, d decision) bool {
	record := model.Record{
		Name: r.name, SchemaVersion: r.schemaVersion, Generation: generation, WrittenAt: d.at,
		Nonce: uuid.NewString(), Body: r.body(d),
	}
	value, err := json.Marshal(record)
	if err != nil {
		return false
	}
	_, err = c.store.CompareAndSwap(ctx, configPrefix+r.name, value, revision)
	var unavailable *store.UnavailableError
	if errors.As(err, &unavailable) && unavailable.Ambiguous {
		err = c.readBack(ctx, r, record.Nonce)
	}
	if err != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accepted = append(r.accepted, d)
	return true
}

// readBack reads a record until the store responds and returns an error if the write did not take effect.
func (c *configuration) readBack(ctx context.Context, r *configRecord, nonce string) error {
	for ctx.Err() == nil {
		entry, err := c.store.Get(ctx, configPrefix+r.name)
		var record model.Record
		if err == nil && json.Unmarshal(entry.Value, &record) == nil {
			if record.Nonce == nonce {
				return nil
			}
			return errors.Newf("faults: write of configuration record %s did not take effect", r.name)
		}
		sleep(ctx, readBackPause)
	}
	return ctx.Err()
}

// body returns the YAML of the record, in its schema version.
func (r *configRecord) body(d decision) []byte {
	if r.schemaVersion == 1 {
		return fmt.Appendf(nil, "SchemaVersion: 1\nName: %s\nService: %s\nModel: %s\nVersion: %s\nMemoryMB: %d\nReplicas: %d\nPriority: Normal\nAdapters: [%s%d]\n",
			r.name, modelService, r.key.Model, r.key.Version, modelMemoryMB, d.replicas, markPrefix, d.number)
	}
	return fmt.Appendf(nil, "SchemaVersion: 2\nName: %s\nService: %s\nModels:\n  - Model: %s\n    Version: %s\n    Memory: %dMB\n    Priority: 50\n    Adapters: [%s%d]\n    Replicas: {Decided: %d, Warm: 0}\n",
		r.name, modelService, r.key.Model, r.key.Version, modelMemoryMB, markPrefix, d.number, d.replicas)
}

// history returns the accepted changes so far.
func (r *configRecord) history() []decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted[:len(r.accepted):len(r.accepted)]
}

// changeConfiguration changes the records in turn, one every ConfigInterval.
func (r *Run) changeConfiguration(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		sleep(ctx, r.ConfigInterval)
		record := r.config.records[i%len(r.config.records)]
		if r.config.random.IntN(replicaChangeOneIn) == 0 {
			record.replicas = 1 + r.config.random.IntN(maxReplicas)
		}
		r.config.change(ctx, record)
	}
}
