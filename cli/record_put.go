package cli

import (
	"context"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"citronspread/record"
)

const recordPutHelp = `Validate a record and write it by compare-and-swap.

With --revision the command fails if the record is at another revision, and the error shows that revision. Use 0 for a record that does not exist yet.

Examples:
  citronspread record put scribe.yaml --store 127.0.0.1:7001
  citronspread record put scribe.yaml --store 127.0.0.1:7001 --revision 41`

type recordPutCommand struct {
	store    storeFlag
	file     string
	revision int64
}

func (c *recordPutCommand) register(group commandGroup) *kingpin.CmdClause {
	clause := group.Command("put", recordPutHelp)
	clause.Arg("file", "Record file.").Required().StringVar(&c.file)
	clause.Flag("revision", "Expected revision of the record.").Default("-1").PlaceHolder("N").Int64Var(&c.revision)
	c.store.register(clause)
	return clause
}

func (c *recordPutCommand) run(ctx context.Context, out output) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
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
	previous, err := currentRecord(ctx, repository, declared.Record, c.revision)
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
