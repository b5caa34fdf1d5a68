package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"citronspread/record"
	"citronspread/store"
)

const (
	storeTimeout  = 30 * time.Second // of a whole command
	callTimeout   = 5 * time.Second  // of one call
	anyRevision   = -1
	storeFlagHelp = "Address of the platform's store, IP:port."
)

// storeFlag is the flag that names the platform's store.
type storeFlag struct {
	address string
}

func (f *storeFlag) register(clause *kingpin.CmdClause) {
	clause.Flag("store", storeFlagHelp).Required().Envar("CITRONSPREAD_STORE").PlaceHolder("IP:PORT").StringVar(&f.address)
}

func (f *storeFlag) repository() (*record.Repository, error) {
	if err := checkAddress("--store", f.address); err != nil {
		return nil, err
	}
	client := &http.Client{Timeout: callTimeout}
	return &record.Repository{Store: &store.Client{Address: f.address, HTTP: client}}, nil
}

// current returns the record to write on top of. With a revision given, any other one is a conflict.
func current(ctx context.Context, repository *record.Repository, name string, revision int64) (record.Stored, error) {
	stored, err := repository.Get(ctx, name)
	if err != nil {
		return record.Stored{}, err
	}
	if revision != anyRevision && revision != stored.Revision {
		return record.Stored{}, &record.ConflictError{Name: name, Winner: stored}
	}
	return stored, nil
}

func printWritten(w io.Writer, verb string, stored record.Stored) {
	fmt.Fprintf(w, "%s %s, revision %d, generation %d\n", verb, stored.Record.Name, stored.Revision, stored.Record.Generation)
}
