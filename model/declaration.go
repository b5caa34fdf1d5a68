package model

import "time"

// Record is an operators' record as the store holds it, under the key config/<name>.
type Record struct {
	Name          string
	SchemaVersion int
	Generation    int64 // raised by one with each accepted write
	WrittenAt     time.Time
	Nonce         string
	Retired       bool
	Body          []byte // the YAML that the operator wrote
}

// Newer reports whether r was accepted after other.
func (r Record) Newer(other Record) bool {
	if r.Generation != other.Generation {
		return r.Generation > other.Generation
	}
	if !r.WrittenAt.Equal(other.WrittenAt) {
		return r.WrittenAt.After(other.WrittenAt)
	}
	return r.Nonce > other.Nonce
}

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
