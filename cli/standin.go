package cli

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
)

const standInHelp = `Run a stand-in for an external system, for tests and trials.

POST /fault makes a stand-in inject faults, GET /counts returns its counters.`

// server is a stand-in that serves until its context is cancelled.
type server interface {
	Run(ctx context.Context) error
}

// listenFlag is the flag with the address that a stand-in listens on.
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

// addStandIns registers the stand-in command with its subcommands.
func (a *application) addStandIns() {
	group := a.kingpin.Command("stand-in", standInHelp)
	a.add(group, &standInStoreCommand{})
	a.add(group, &standInHostsCommand{})
	a.add(group, &standInEngineCommand{})
	a.add(group, &standInServiceCommand{})
	a.add(group, &standInWeightsCommand{})
	a.add(group, &standInCensusCommand{})
}
