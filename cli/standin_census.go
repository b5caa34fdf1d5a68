package cli

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"citronspread/standin"
)

type standInCensusCommand struct {
	listen  listenFlag
	counter standin.ReplicaCounter
}

func (c *standInCensusCommand) register(group commandGroup) *kingpin.CmdClause {
	clause := group.Command("census", "Count the replicas that engines have loaded at the same time.")
	c.listen.register(clause)
	return clause
}

func (c *standInCensusCommand) run(ctx context.Context, out output) error {
	c.counter.Address = c.listen.address
	return c.listen.serve(ctx, out, "census", &c.counter)
}
