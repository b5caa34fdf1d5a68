package cli

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"citronspread/model"
	"citronspread/standin"
)

type standInHostsCommand struct {
	listen listenFlag
	file   string
	lag    time.Duration
	list   standin.HostList
}

func (c *standInHostsCommand) register(group commandGroup) *kingpin.CmdClause {
	clause := group.Command("hosts", "Imitate the platform's host list. POST /hosts changes one entry.")
	c.listen.register(clause)
	clause.Flag("lag", "Time from a change to its publication.").Default("500ms").DurationVar(&c.lag)
	clause.Flag("file", "JSON file with the initial hosts.").PlaceHolder("FILE").StringVar(&c.file)
	return clause
}

func (c *standInHostsCommand) run(ctx context.Context, out output) error {
	c.list.Address = c.listen.address
	hosts, err := c.readHosts()
	if err != nil {
		return err
	}
	for _, h := range hosts {
		c.list.Set(h)
	}
	c.list.Lag = c.lag
	return c.listen.serve(ctx, out, "hosts", &c.list)
}

func (c *standInHostsCommand) readHosts() ([]model.Host, error) {
	if c.file == "" {
		return nil, nil
	}
	body, err := os.ReadFile(c.file)
	if err != nil {
		return nil, errors.Wrap(err, "cli")
	}
	var hosts []model.Host
	err = json.Unmarshal(body, &hosts)
	return hosts, errors.Wrapf(err, "cli: %s", c.file)
}
