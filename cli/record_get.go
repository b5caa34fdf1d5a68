package cli

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
)

const recordGetHelp = `Print a record as it was written, preceded by its revision in a comment.

Example: citronspread record get scribe --store 127.0.0.1:7001`

type recordGetCommand struct {
	store storeFlag
	name  string
}

func (c *recordGetCommand) register(group commandGroup) *kingpin.CmdClause {
	clause := group.Command("get", recordGetHelp)
	clause.Arg("name", "Name of the record.").Required().StringVar(&c.name)
	c.store.register(clause)
	return clause
}

func (c *recordGetCommand) run(ctx context.Context, out output) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	repository, err := c.store.repository()
	if err != nil {
		return err
	}
	stored, err := repository.Get(ctx, c.name)
	if err != nil {
		return err
	}
	if stored.Revision == 0 {
		return errors.Newf("cli: no record %s", c.name)
	}
	fmt.Fprintf(out.stdout, "# revision %d, generation %d, written at %s%s\n", stored.Revision,
		stored.Record.Generation, stored.Record.WrittenAt.Format(timeLayout), retiredMark(stored.Record))
	fmt.Fprintf(out.stdout, "%s", stored.Record.Body)
	return nil
}
