package model

import "time"

// Record is a configuration record of the operators, stored under the key config/<name>.
type Record struct {
	Name          string
	SchemaVersion int
	Generation    int64     // increased by one with each accepted write
	WrittenAt     time.Time // later than WrittenAt of the previous write
	Nonce         string    // unique to each write
	Retired       bool      // the record declares no models, whatever Body contains
	Body          []byte    // the YAML that the operator wrote
}

// Newer reports whether r was accepted after other. It compares WrittenAt first, because WrittenAt increases with each
// write that builds on another, while generations are assigned again after the store was restored with older data.
func (r Record) Newer(other Record) bool {
	if !r.WrittenAt.Equal(other.WrittenAt) {
		return r.WrittenAt.After(other.WrittenAt)
	}
	if r.Generation != other.Generation {
		return r.Generation > other.Generation
	}
	return r.Nonce > other.Nonce
}

// WriteOrder returns a number that increases with each accepted write of the record: WrittenAt in Unix microseconds.
func (r Record) WriteOrder() int64 { return r.WrittenAt.UnixMicro() }

// Declaration is the decoded content of a valid record, independent of its schema version.
type Declaration struct {
	Record     string
	Generation int64
	Service    string
	Models     []ModelDeclaration
}

// ModelDeclaration declares one model version of a service.
type ModelDeclaration struct {
	Key      ModelKey
	Adapters []string
	Bytes    int64 // accelerator memory of one replica
	Replicas int   // the decided number of replicas
	Warm     int   // number of replicas that stay loaded when idle
	Priority int   // 0 (lowest) to 100
}
