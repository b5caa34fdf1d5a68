package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"citronspread/httpconn"
	"citronspread/record"
	"citronspread/store"
)

const (
	commandTimeout = 30 * time.Second // of a command with all its store calls
	callTimeout    = 5 * time.Second  // of one store call
	anyRevision    = -1               // value of --revision if it is not given
	storeFlagHelp  = "Address of the platform's store, IP:port."
)

// storeFlag is the flag with the address of the platform's store.
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
	client := &http.Client{Transport: httpconn.DefaultClient.Transport, Timeout: callTimeout}
	return &record.Repository{Store: &store.Client{Address: f.address, HTTP: client}}, nil
}

// currentRecord returns the stored record that a write replaces. It returns a ConflictError if a revision is given and
// the record is at another one.
func currentRecord(ctx context.Context, repository *record.Repository, name string, revision int64) (record.StoredRecord, error) {
	stored, err := repository.Get(ctx, name)
	if err != nil {
		return record.StoredRecord{}, err
	}
	if revision != anyRevision && revision != stored.Revision {
		return record.StoredRecord{}, &record.ConflictError{Name: name, Current: stored}
	}
	return stored, nil
}

func printWritten(w io.Writer, verb string, stored record.StoredRecord) {
	fmt.Fprintf(w, "%s %s, revision %d, generation %d\n", verb, stored.Record.Name, stored.Revision, stored.Record.Generation)
}
