package cli

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"citronspread/model"
)

const recordListHelp = `List all records, one per line.

Example: citronspread record list --store 127.0.0.1:7001`

const timeLayout = time.RFC3339

type recordListCommand struct {
	store storeFlag
}

func (c *recordListCommand) register(group commandGroup) *kingpin.CmdClause {
	clause := group.Command("list", recordListHelp)
	c.store.register(clause)
	return clause
}

func (c *recordListCommand) run(ctx context.Context, out output) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	repository, err := c.store.repository()
	if err != nil {
		return err
	}
	all, err := repository.List(ctx)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tSCHEMA\tREVISION\tGENERATION\tWRITTEN")
	for _, s := range all {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s%s\n", s.Record.Name, s.Record.SchemaVersion, s.Revision,
			s.Record.Generation, s.Record.WrittenAt.Format(timeLayout), retiredMark(s.Record))
	}
	return w.Flush()
}

func retiredMark(r model.Record) string {
	if r.Retired {
		return ", retired"
	}
	return ""
}
