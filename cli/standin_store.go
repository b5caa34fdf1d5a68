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

func (c *standInStoreCommand) register(parent parent) *kingpin.CmdClause {
	clause := parent.Command("store", "Imitate the platform's key-value service.")
	c.listen.register(clause)
	clause.Flag("writes", "Writes a second.").Default("400").Float64Var(&c.store.WritesPerSecond)
	clause.Flag("reads", "Reads a second.").Default("2000").Float64Var(&c.store.ReadsPerSecond)
	return clause
}

func (c *standInStoreCommand) run(ctx context.Context, out output) error {
	c.store.Address = c.listen.address
	return c.listen.serve(ctx, out, "store", &c.store)
}
