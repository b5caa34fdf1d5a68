package cli

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"citronspread/standin"
)

type standInWeightsCommand struct {
	listen  listenFlag
	weights standin.WeightStore
}

func (c *standInWeightsCommand) register(parent parent) *kingpin.CmdClause {
	clause := parent.Command("weights", "Imitate the rate-limited weight store.")
	c.listen.register(clause)
	clause.Flag("loads-per-second", "Loads that may begin in a second.").Default("3").Float64Var(&c.weights.LoadsPerSecond)
	clause.Flag("parallel-loads", "Loads at once at full speed.").Default("4").IntVar(&c.weights.FullSpeedLoads)
	clause.Flag("parallel-adapters", "Adapter loads at once at full speed.").Default("32").IntVar(&c.weights.FullSpeedAdapters)
	return clause
}

func (c *standInWeightsCommand) run(ctx context.Context, out output) error {
	c.weights.Address = c.listen.address
	return c.listen.serve(ctx, out, "weights", &c.weights)
}
