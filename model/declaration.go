package model

import "time"

// Record is an operators' record as the store holds it, under the key config/<name>.
type Record struct {
	Name          string
	SchemaVersion int
	Generation    int64     // raised by one with each accepted write
	WrittenAt     time.Time // later than that of the write before
	Nonce         string
	Retired       bool
	Body          []byte // the YAML that the operator wrote
}

// Newer reports whether r was accepted after other. WrittenAt rises with each write that builds on another,
// also when the store came back with older data and generations are given out again.
func (r Record) Newer(other Record) bool {
	if !r.WrittenAt.Equal(other.WrittenAt) {
		return r.WrittenAt.After(other.WrittenAt)
	}
	if r.Generation != other.Generation {
		return r.Generation > other.Generation
	}
	return r.Nonce > other.Nonce
}

// Order returns a number that rises with each accepted write of the record.
func (r Record) Order() int64 { return r.WrittenAt.UnixMicro() }

// Declaration is what a valid record means, whichever schema version it was written in.
type Declaration struct {
	Record     string
	Generation int64
	Service    string
	Models     []ModelDeclaration
}

// ModelDeclaration states what a service may run of one model version.
type ModelDeclaration struct {
	Key      ModelKey
	Adapters []string
	Bytes    int64 // accelerator memory that one replica takes
	Replicas int   // the decided number of replicas
	Warm     int   // replicas kept loaded when idle
	Priority int   // 0 (lowest) to 100
}
