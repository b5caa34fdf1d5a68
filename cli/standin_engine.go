package cli

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"citronspread/standin"
)

type standInEngineCommand struct {
	listen         listenFlag
	weightsAddress string
	counterAddress string
	memoryGB       int64
	engine         standin.Engine
}

func (c *standInEngineCommand) register(group commandGroup) *kingpin.CmdClause {
	clause := group.Command("engine", "Imitate a model engine on a backend server.")
	c.listen.register(clause)
	clause.Flag("backend", "Name of the backend server.").Required().PlaceHolder("NAME").StringVar(&c.engine.Backend)
	clause.Flag("memory-gb", "Accelerator memory in GB.").Default("24").Int64Var(&c.memoryGB)
	clause.Flag("checks-fencing", "Refuse orders with an outdated fencing token.").BoolVar(&c.engine.ChecksFencing)
	clause.Flag("tokens-per-second", "Tokens per second of a stream that runs alone.").Default("50").Float64Var(&c.engine.TokensPerSecond)
	clause.Flag("slow-per-stream", "Fraction that each further stream adds to the time per token.").Default("0.01").Float64Var(&c.engine.SlowdownPerStream)
	clause.Flag("batch", "Maximum number of requests that run at the same time.").Default("32").IntVar(&c.engine.BatchCapacity)
	clause.Flag("remote-rate", "Bytes per second of a load from the weight store.").Default("1e9").Float64Var(&c.engine.Rates.Remote)
	clause.Flag("weights", "Address of the stand-in for the weight store.").PlaceHolder("IP:PORT").StringVar(&c.weightsAddress)
	clause.Flag("census", "Address of the census stand-in, which counts replicas.").PlaceHolder("IP:PORT").StringVar(&c.counterAddress)
	clause.Flag("seed", "Seed of the random number generator.").Default("1").Uint64Var(&c.engine.Seed)
	return clause
}

func (c *standInEngineCommand) run(ctx context.Context, out output) error {
	c.engine.Address = c.listen.address
	c.engine.MemoryBytes = c.memoryGB * 1e9
	c.engine.Rates.Memory = 16 * c.engine.Rates.Remote
	c.engine.Rates.Disk = 4 * c.engine.Rates.Remote
	if c.weightsAddress != "" {
		c.engine.Weights = &standin.WeightClient{Address: c.weightsAddress}
	}
	if c.counterAddress != "" {
		c.engine.ReplicaSink = &standin.ReplicaCounterClient{Address: c.counterAddress}
	}
	return c.listen.serve(ctx, out, "engine "+c.engine.Backend, &c.engine)
}
