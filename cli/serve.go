package cli

import (
	"context"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap"

	"citronspread/entryhost"
	"citronspread/platform"
	"citronspread/settings"
)

const serveHelp = `Run an entry host until SIGTERM or SIGINT, then stop gracefully.

Example: citronspread serve --settings entry.yaml`

// gcPercent is how much the heap may grow between two garbage collections, in percent.
const gcPercent = 40

type serveCommand struct {
	settings string
}

func (c *serveCommand) register(group commandGroup) *kingpin.CmdClause {
	clause := group.Command("serve", serveHelp)
	clause.Flag("settings", "Settings file.").Required().PlaceHolder("FILE").StringVar(&c.settings)
	return clause
}

func (c *serveCommand) run(ctx context.Context, out output) error {
	s, err := settings.Load(c.settings)
	if err != nil {
		return err
	}
	logger, err := newLogger(s.LogLevel, out.stderr)
	if err != nil {
		return err
	}
	defer logger.Sync()
	debug.SetGCPercent(gcPercent)
	return runEntryHost(ctx, s, logger)
}

// runEntryHost runs an entry host until ctx is cancelled.
func runEntryHost(ctx context.Context, s settings.Settings, logger *zap.Logger) error {
	host := entryhost.FromSettings(s, logger)
	host.ReadStatements = platform.ReadStatements
	host.Version = version()
	return host.Run(ctx)
}
