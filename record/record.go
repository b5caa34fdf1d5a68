// Package record parses and validates operators' records and stores them in the platform's key-value store. A record
// is a YAML document that declares which models a service may run.
package record

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"citronspread/model"
	"citronspread/yamlfile"
)

// Schema versions of a record's body.
const (
	SchemaVersion1 = 1
	SchemaVersion2 = 2
)

const (
	maxBodyBytes = 500_000
	maxReplicas  = 10_000
	maxModels    = 1_000
	maxMemory    = 10_000_000_000_000 // bytes
	maxPriority  = 100
)

// Parse parses a record of any supported schema version. The error is of type yamlfile.Problems.
func Parse(body []byte) (model.Declaration, error) {
	return ParseFile("record", body)
}

// ParseFile is like Parse and names the file in errors.
func ParseFile(file string, body []byte) (model.Declaration, error) {
	if len(body) > maxBodyBytes {
		return model.Declaration{}, yamlfile.Problems{{File: file, Line: 1, Expected: fmt.Sprintf("at most %d bytes", maxBodyBytes)}}
	}
	r, m := yamlfile.Parse(file, body)
	d := model.Declaration{}
	switch m.OneOf("SchemaVersion", "1", "2") {
	case "1":
		d = readVersion1(m)
	case "2":
		d = readVersion2(m)
	default:
		return d, r.Err()
	}
	m.ReportUnknownKeys()
	return d, r.Err()
}

// Version returns the schema version of a body, which must be one that Parse accepts.
func Version(body []byte) int {
	_, m := yamlfile.Parse("record", body)
	return int(m.Int("SchemaVersion", yamlfile.IntRange{Low: SchemaVersion1, High: SchemaVersion2}))
}

// Decode parses the body of a stored record and checks that it has the name under which the record is stored.
// The declaration of a retired record has no models.
func Decode(stored model.Record) (model.Declaration, error) {
	if stored.Retired {
		return model.Declaration{Record: stored.Name, Generation: stored.Generation}, nil
	}
	d, err := ParseFile(stored.Name, stored.Body)
	if err != nil {
		return model.Declaration{}, err
	}
	if d.Record != stored.Name {
		return model.Declaration{}, errors.WithStack(&NameError{Key: stored.Name, Name: d.Record})
	}
	d.Generation = stored.Generation
	return d, nil
}
