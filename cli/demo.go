package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"citronspread/fleet"
	"citronspread/settings"
	"citronspread/standin"
)

const demoHelp = `Run six entry hosts in three availability zones, and stand-ins for the systems around them, in one process on fixed loopback ports.

Example: citronspread demo`

const (
	demoBasePort     = 18000
	demoMemoryBytes  = 24_000_000_000
	demoReadyTimeout = 30 * time.Second
)

const demoRecordVersion1 = `SchemaVersion: 1
Name: scribe
Service: link-scribe
Model: scribe-7b
Version: v1
MemoryMB: 8000
Replicas: 2
Priority: Normal
Adapters: [plating, shipping]
`

const demoRecordVersion2 = `SchemaVersion: 2
Name: guides
Service: link-scribe
Models:
  - Model: guide-3b
    Version: v2
    Memory: 4GB
    Priority: 80
    Replicas: {Decided: 3, Warm: 1}
`

type demoCommand struct {
	duration time.Duration // 0 for no limit
	logLevel string
}

func (c *demoCommand) register(group commandGroup) *kingpin.CmdClause {
	clause := group.Command("demo", demoHelp)
	clause.Flag("for", "Stop after this time; 0s runs until SIGINT.").Default("0s").DurationVar(&c.duration)
	clause.Flag("log-level", "Minimum level of log lines.").Default("Warn").EnumVar(&c.logLevel, "Debug", "Info", "Warn", "Error")
	return clause
}

func (c *demoCommand) run(ctx context.Context, out output) error {
	if c.duration > 0 {
		limited, cancel := context.WithTimeout(ctx, c.duration)
		defer cancel()
		ctx = limited
	}
	logger, err := newLogger(c.logLevel, out.stderr)
	if err != nil {
		return err
	}
	f := demoLayout().Build(logger)
	f.RunEntryHost = runEntryHost
	go c.prepareAndPrint(ctx, f, out)
	return f.Run(ctx)
}

func demoLayout() fleet.Layout {
	return fleet.Layout{
		Deployment:           settings.DeploymentQureshi,
		Region:               "punjab",
		Zones:                []string{"sialkot-a", "sialkot-b", "gujranwala"},
		HostsPerZone:         2,
		EnginesPerZone:       2,
		EngineService:        "link-scribe",
		PlainService:         "order-desk",
		MemoryBytes:          demoMemoryBytes,
		Rates:                standin.TierRates{Memory: 16e9, Disk: 8e9, Remote: 4e9},
		LoadsPerSecond:       3,
		ParallelLoads:        4,
		HostListLag:          200 * time.Millisecond,
		BalancerLag:          500 * time.Millisecond,
		BasePort:             demoBasePort,
		StandingReservations: 1,
	}
}

// prepareAndPrint writes the demo's records and prints example commands once the entry hosts are ready.
func (c *demoCommand) prepareAndPrint(ctx context.Context, f *fleet.Fleet, out output) {
	ctx, cancel := context.WithTimeout(ctx, demoReadyTimeout)
	defer cancel()
	if err := prepareDemo(ctx, f); err != nil {
		f.Logger.Error("demo did not become ready", zap.Error(err))
		return
	}
	printDemo(out.stdout, f)
}

func prepareDemo(ctx context.Context, f *fleet.Fleet) error {
	if err := f.WaitForStore(ctx); err != nil {
		return err
	}
	for _, body := range []string{demoRecordVersion1, demoRecordVersion2} {
		if err := f.PutRecord(ctx, []byte(body)); err != nil {
			return errors.Wrap(err, "cli: demo")
		}
	}
	return f.WaitForEntryHosts(ctx)
}

func printDemo(w io.Writer, f *fleet.Fleet) {
	first := f.EntryHosts[0]
	fmt.Fprintf(w, "demo: %d entry hosts, %d backend servers, store on %s\n", len(f.EntryHosts), len(f.Backends), f.Store.Address)
	fmt.Fprintf(w, "try: curl -N http://%s/v1/chat/completions -d '%s'\n", first.CallerAddress,
		`{"model":"scribe-7b","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"a silver charm"}]}`)
	fmt.Fprintf(w, "try: curl http://%s/services/order-desk/bookings -H 'Idempotency-Key: 1' -d 'plating'\n", first.CallerAddress)
	fmt.Fprintf(w, "try: citronspread dump --address %s\n", first.OperatorAddress)
	fmt.Fprintln(w, "stop: Ctrl-C")
}
