package cli

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"citronspread/standin"
)

type standInStoreCommand struct {
	listen listenFlag
	store  standin.Store
}

func (c *standInStoreCommand) register(group commandGroup) *kingpin.CmdClause {
	clause := group.Command("store", "Imitate the platform's key-value service.")
	c.listen.register(clause)
	clause.Flag("writes", "Maximum writes per second.").Default("400").Float64Var(&c.store.WritesPerSecond)
	clause.Flag("reads", "Maximum reads per second.").Default("2000").Float64Var(&c.store.ReadsPerSecond)
	return clause
}

func (c *standInStoreCommand) run(ctx context.Context, out output) error {
	c.store.Address = c.listen.address
	return c.listen.serve(ctx, out, "store", &c.store)
}
