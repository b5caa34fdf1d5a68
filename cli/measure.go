package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"citronspread/measure"
)

const measureHelp = `Run an experiment: entry hosts and stand-ins in one process under open-loop load, with faults at planned times.

Example: citronspread measure --plan plans/qureshi.yaml --out out/qureshi.json`

type measureCommand struct {
	plan     string
	out      string
	basePort int
	logLevel string
}

func (c *measureCommand) register(group commandGroup) *kingpin.CmdClause {
	clause := group.Command("measure", measureHelp)
	clause.Flag("plan", "Plan file.").Required().PlaceHolder("FILE").StringVar(&c.plan)
	clause.Flag("out", "File for the result as JSON.").PlaceHolder("FILE").StringVar(&c.out)
	clause.Flag("base-port", "First port, overrides the plan.").PlaceHolder("N").IntVar(&c.basePort)
	clause.Flag("log-level", "Minimum level of log lines.").Default("Error").EnumVar(&c.logLevel, "Debug", "Info", "Warn", "Error")
	return clause
}

func (c *measureCommand) run(ctx context.Context, out output) error {
	plan, err := measure.LoadPlan(c.plan)
	if err != nil {
		return err
	}
	if c.basePort != 0 {
		plan.Layout.BasePort = c.basePort
	}
	logger, err := newLogger(c.logLevel, out.stderr)
	if err != nil {
		return err
	}
	runner := &measure.Runner{Plan: plan, Revision: version(), Logger: logger}
	result, err := runner.Run(ctx)
	if err != nil {
		return err
	}
	if err := result.WriteTable(out.stdout); err != nil {
		return err
	}
	return c.write(result, out)
}

func (c *measureCommand) write(result measure.Result, out output) error {
	if c.out == "" {
		return nil
	}
	file, err := os.Create(c.out)
	if err != nil {
		return errors.Wrap(err, "cli: measure")
	}
	defer file.Close()
	if err := result.WriteJSON(file); err != nil {
		return err
	}
	fmt.Fprintf(out.stdout, "result: %s\n", c.out)
	return errors.Wrap(file.Close(), "cli: measure")
}
