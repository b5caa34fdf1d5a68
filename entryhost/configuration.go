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

func decodeRecord(item gossip.Item) (model.Record, error) {
	var r model.Record
	if err := unmarshal(item.Value, &r); err != nil {
		return r, errors.Wrap(err, "entryhost: record")
	}
	return r, nil
}
