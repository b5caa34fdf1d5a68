package cli

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
)

const dumpHelp = `Print the state of an entry host as JSON. This works even if its control thread is stuck.

Example: citronspread dump --address 127.0.0.1:8301`

const (
	dumpTimeout  = 3 * time.Second
	maxDumpBytes = 64_000_000
)

type dumpCommand struct {
	address string
}

func (c *dumpCommand) register(group commandGroup) *kingpin.CmdClause {
	clause := group.Command("dump", dumpHelp)
	clause.Flag("address", "Operator address of the entry host, IP:port.").Required().PlaceHolder("IP:PORT").StringVar(&c.address)
	return clause
}

func (c *dumpCommand) run(ctx context.Context, out output) error {
	if err := checkAddress("--address", c.address); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+"/debug/state", nil)
	if err != nil {
		return errors.Wrap(err, "cli: dump")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "cli: dump")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("cli: dump: unexpected status %s", response.Status)
	}
	_, err = io.Copy(out.stdout, io.LimitReader(response.Body, maxDumpBytes))
	return errors.Wrap(err, "cli: dump")
}
