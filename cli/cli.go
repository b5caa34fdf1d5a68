// Package cli parses the command line and runs the chosen command.
package cli

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"citronspread/yamlfile"
)

const description = `Serves language models that sit unused most of the day.

Examples:
  citronspread demo
  citronspread check --settings entry.yaml
  citronspread serve --settings entry.yaml
  citronspread record put scribe.yaml --store 127.0.0.1:7001
  citronspread dump --address 127.0.0.1:8301

Exit codes: 0 done, 1 failed, 2 bad arguments, settings or record,
3 another write won, 4 the platform's store is unavailable.`

// command is one command of the command line.
type command interface {
	// register adds the command with its flags to parent.
	register(parent parent) *kingpin.CmdClause
	run(ctx context.Context, out output) error
}

// parent is the application or a group of commands.
type parent interface {
	Command(name, help string) *kingpin.CmdClause
}

// output is where a command writes to.
type output struct {
	stdout io.Writer
	stderr io.Writer
}

// application is one parse of the command line.
type application struct {
	kingpin *kingpin.Application
	chosen  command
	parsed  bool // up to the choice of a command
}

// termination is what kingpin's Terminate panics with, because Parse would go on otherwise.
type termination struct {
	exitCode int
}

// Run runs the command named by args and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	a := newApplication(stdout, stderr)
	ended, err := a.parse(args)
	if err != nil {
		fmt.Fprintf(stderr, "citronspread: %v, try --help\n", err)
		return ExitUsage
	}
	if ended != nil {
		return ended.exitCode
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, stop) // a second signal ends the process at once
	err = a.chosen.run(ctx, output{stdout: stdout, stderr: stderr})
	if err != nil {
		fmt.Fprintln(stderr, errorText(err))
	}
	return exitCode(err)
}

// parse chooses the command. The termination tells that kingpin answered by itself, as for --help.
func (a *application) parse(args []string) (ended *termination, err error) {
	defer func() {
		panicked := recover()
		if panicked == nil {
			return
		}
		t, ok := panicked.(*termination)
		if !ok {
			panic(panicked)
		}
		ended = t
		if a.parsed {
			err = kingpin.ErrCommandNotSpecified
		}
	}()
	_, err = a.kingpin.Parse(args)
	return nil, err
}

func newApplication(stdout, stderr io.Writer) *application {
	a := &application{kingpin: kingpin.New("citronspread", description)}
	a.kingpin.UsageWriter(stdout).ErrorWriter(stderr).Version(version())
	a.kingpin.Terminate(func(code int) { panic(&termination{exitCode: code}) })
	a.kingpin.Action(func(*kingpin.ParseContext) error {
		a.parsed = true
		return nil
	})
	a.kingpin.HelpFlag.Short('h')
	a.add(a.kingpin, &serveCommand{})
	a.add(a.kingpin, &gatewayCommand{})
	a.add(a.kingpin, &explainCommand{})
	a.add(a.kingpin, &checkCommand{})
	records := a.kingpin.Command("record", "Work with operators' records in the platform's store.")
	a.add(records, &recordPutCommand{})
	a.add(records, &recordGetCommand{})
	a.add(records, &recordListCommand{})
	a.add(records, &recordRetireCommand{})
	a.add(records, &recordCheckCommand{})
	a.add(a.kingpin, &dumpCommand{})
	a.add(a.kingpin, &demoCommand{})
	a.add(a.kingpin, &measureCommand{})
	a.addStandIns()
	return a
}

func (a *application) add(parent parent, c command) {
	c.register(parent).Action(func(*kingpin.ParseContext) error {
		a.chosen = c
		return nil
	})
}

// errorText returns what the operator reads. Lists of problems already name their file.
func errorText(err error) string {
	var problems yamlfile.Problems
	if errors.As(err, &problems) {
		return problems.Error()
	}
	return "citronspread: " + err.Error()
}
