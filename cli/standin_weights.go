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

func (c *standInWeightsCommand) register(group commandGroup) *kingpin.CmdClause {
	clause := group.Command("weights", "Imitate the rate-limited weight store.")
	c.listen.register(clause)
	clause.Flag("loads-per-second", "Maximum loads that start per second.").Default("3").Float64Var(&c.weights.LoadsPerSecond)
	clause.Flag("parallel-loads", "Concurrent loads at full speed.").Default("4").IntVar(&c.weights.FullSpeedLoads)
	clause.Flag("parallel-adapters", "Concurrent adapter loads at full speed.").Default("32").IntVar(&c.weights.FullSpeedAdapters)
	return clause
}

func (c *standInWeightsCommand) run(ctx context.Context, out output) error {
	c.weights.Address = c.listen.address
	return c.listen.serve(ctx, out, "weights", &c.weights)
}
