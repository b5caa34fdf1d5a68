package cli

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
)

const standInHelp = `Run an imitation of an outside system, for tests and trials.

A POST to /fault of a stand-in makes it fail, GET /counts shows what it counted.`

// server is a stand-in that serves until its context ends.
type server interface {
	Run(ctx context.Context) error
}

// listenFlag is the flag that names a stand-in's own address.
type listenFlag struct {
	address string
}

func (f *listenFlag) register(clause *kingpin.CmdClause) {
	clause.Flag("address", "Address to listen on, IP:port.").Required().PlaceHolder("IP:PORT").StringVar(&f.address)
}

func (f *listenFlag) serve(ctx context.Context, out output, name string, s server) error {
	if err := checkAddress("--address", f.address); err != nil {
		return err
	}
	fmt.Fprintf(out.stderr, "stand-in %s on %s\n", name, f.address)
	return s.Run(ctx)
}

// addStandIns adds the group of stand-ins.
func (a *application) addStandIns() {
	group := a.kingpin.Command("stand-in", standInHelp)
	a.add(group, &standInStoreCommand{})
	a.add(group, &standInHostsCommand{})
	a.add(group, &standInEngineCommand{})
	a.add(group, &standInServiceCommand{})
	a.add(group, &standInWeightsCommand{})
	a.add(group, &standInCensusCommand{})
}
