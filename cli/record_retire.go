package cli

import (
	"context"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
)

const recordRetireHelp = `Retire a record, so that its models are drained and unloaded.

Example: citronspread record retire scribe --store 127.0.0.1:7001 --revision 42`

type recordRetireCommand struct {
	store    storeFlag
	name     string
	revision int64
}

func (c *recordRetireCommand) register(group commandGroup) *kingpin.CmdClause {
	clause := group.Command("retire", recordRetireHelp)
	clause.Arg("name", "Name of the record.").Required().StringVar(&c.name)
	clause.Flag("revision", "Expected revision of the record.").Default("-1").PlaceHolder("N").Int64Var(&c.revision)
	c.store.register(clause)
	return clause
}

func (c *recordRetireCommand) run(ctx context.Context, out output) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	repository, err := c.store.repository()
	if err != nil {
		return err
	}
	previous, err := currentRecord(ctx, repository, c.name, c.revision)
	if err != nil {
		return err
	}
	if previous.Revision == 0 {
		return errors.Newf("cli: no record %s", c.name)
	}
	if previous.Record.Retired {
		printWritten(out.stdout, "already retired", previous)
		return nil
	}
	written, err := repository.Retire(ctx, time.Now(), previous)
	if err != nil {
		return err
	}
	printWritten(out.stdout, "retired", written)
	return nil
}
