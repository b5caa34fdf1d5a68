package entryhost

import (
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"citronspread/gossip"
	"citronspread/ledger"
	"citronspread/model"
	"citronspread/record"
)

// activeRecord is the newest valid version of an operators' record, with its decoded declaration.
type activeRecord struct {
	Record      model.Record
	Declaration model.Declaration
	AppliedAt   time.Time
}

// invalidRecord is a newer version of a record that was not applied because it is not valid.
type invalidRecord struct {
	Name       string
	Generation int64
	Problem    string
}

// configuration holds the active records. A record is only replaced by one with a higher rank, so it never reverts.
type configuration struct {
	records    []activeRecord  // sorted by name
	models     []declaredModel // declared by the records, sorted by key
	isComplete bool            // all records were read from the store, or a peer has the same records
	invalid    []invalidRecord
	applied    int64 // number of applied changes
}

func configItem(r model.Record, encode func(any) []byte) gossip.Item {
	return gossip.Item{
		ID:    gossip.ItemID{Kind: gossip.KindConfig, Key: r.Name},
		Rank:  gossip.Rank{Major: r.WriteOrder(), Minor: r.Generation, Tie: r.Nonce},
		Value: encode(r),
	}
}

// isValid reports whether an item holds a valid record. If not, it logs the item and adds it to the invalid records.
func (s *configuration) isValid(c *control, item gossip.Item) bool {
	r, err := decodeRecord(item)
	if err == nil {
		_, err = record.Decode(r)
	}
	if err == nil {
		return true
	}
	s.addInvalid(c, invalidRecord{Name: item.ID.Key, Generation: item.Rank.Minor, Problem: err.Error()})
	return false
}

func (s *configuration) addInvalid(c *control, invalid invalidRecord) {
	if slices.Contains(s.invalid, invalid) {
		return
	}
	s.invalid = slices.DeleteFunc(s.invalid, func(r invalidRecord) bool { return r.Name == invalid.Name })
	s.invalid = append(s.invalid, invalid)
	c.metrics.invalidRecords.Add(1)
	c.log.Warn("record not valid", zap.String("Record", invalid.Name), zap.Int64("Generation", invalid.Generation), zap.String("Problem", invalid.Problem))
}

// apply makes the record of an accepted item the active one.
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
	active := activeRecord{Record: r, Declaration: declaration, AppliedAt: now}
	if !found {
		s.records = slices.Insert(s.records, i, active)
	} else {
		c.checkNewer(s.records[i].Record, r)
		s.records[i] = active
	}
	s.invalid = slices.DeleteFunc(s.invalid, func(n invalidRecord) bool { return n.Name == r.Name && n.Generation <= r.Generation })
	s.models = declaredModels(s.records)
	s.applied++
	c.log.Info("record in force", zap.String("Record", r.Name), zap.Int64("Generation", r.Generation),
		zap.Duration("Age", now.Sub(r.WrittenAt)), zap.Bool("Retired", r.Retired))
}

// checkNewer reports a violation when an active record is replaced by one that is not newer.
func (c *control) checkNewer(active, next model.Record) {
	if next.Newer(active) {
		return
	}
	c.reportViolation(ledger.Violation{Invariant: "configuration never reverts", Detail: active.Name})
}

func compareRecordName(active activeRecord, name string) int {
	return strings.Compare(active.Record.Name, name)
}

func decodeRecord(item gossip.Item) (model.Record, error) {
	var r model.Record
	if err := unmarshal(item.Value, &r); err != nil {
		return r, errors.Wrap(err, "entryhost: decode record")
	}
	return r, nil
}
