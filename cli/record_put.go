package cli

import (
	"context"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"citronspread/record"
)

const recordPutHelp = `Check a record and write it by compare-and-swap.

With --revision the write loses when the record is at another revision, and shows that one. 0 stands for a record that is not there yet.

Examples:
  citronspread record put scribe.yaml --store 127.0.0.1:7001
  citronspread record put scribe.yaml --store 127.0.0.1:7001 --revision 41`

type recordPutCommand struct {
	store    storeFlag
	file     string
	revision int64
}

func (c *recordPutCommand) register(parent parent) *kingpin.CmdClause {
	clause := parent.Command("put", recordPutHelp)
	clause.Arg("file", "File of the record.").Required().StringVar(&c.file)
	clause.Flag("revision", "Revision that the record must be at.").Default("-1").PlaceHolder("N").Int64Var(&c.revision)
	c.store.register(clause)
	return clause
}

func (c *recordPutCommand) run(ctx context.Context, out output) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	body, err := os.ReadFile(c.file)
	if err != nil {
		return errors.Wrap(err, "cli")
	}
	declared, err := record.ParseFile(c.file, body)
	if err != nil {
		return err
	}
	repository, err := c.store.repository()
	if err != nil {
		return err
	}
	previous, err := current(ctx, repository, declared.Record, c.revision)
	if err != nil {
		return err
	}
	written, err := repository.Put(ctx, time.Now(), previous, declared.Record, body)
	if err != nil {
		return err
	}
	printWritten(out.stdout, "put", written)
	return nil
}
