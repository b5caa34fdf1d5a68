// Package cli implements the command line of citronspread: it parses the arguments, runs the selected command and
// returns its exit code.
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

const description = `Serves language models that are idle most of the day: loads them on demand and routes requests to them.

Examples:
  citronspread demo
  citronspread check --settings entry.yaml
  citronspread serve --settings entry.yaml
  citronspread config check next.json --against current.json
  citronspread record put scribe.yaml --store 127.0.0.1:7001
  citronspread dump --address 127.0.0.1:8301

Exit codes: 0 success, 1 failure, 2 invalid arguments, settings, desired state or record,
3 conflict with another write, 4 the platform's store is unavailable.`

// command is one command of the command line.
type command interface {
	// register adds the command and its flags to a group.
	register(group commandGroup) *kingpin.CmdClause
	run(ctx context.Context, out output) error
}

// commandGroup is the application or a command with subcommands.
type commandGroup interface {
	Command(name, help string) *kingpin.CmdClause
}

// output holds the output streams of a command.
type output struct {
	stdout io.Writer
	stderr io.Writer
}

// application parses one command line.
type application struct {
	kingpin *kingpin.Application
	command command // the selected command
	parsed  bool    // the arguments are valid; set before kingpin terminates because of a missing command
}

// termination is the value with which the function passed to kingpin's Terminate panics. Without the panic, Parse would
// continue after printing help.
type termination struct {
	exitCode int
}

// Run runs the command named by args and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	a := newApplication(stdout, stderr)
	terminated, err := a.parse(args)
	if err != nil {
		fmt.Fprintf(stderr, "citronspread: %v, try --help\n", err)
		return ExitUsage
	}
	if terminated != nil {
		return terminated.exitCode
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, stop) // a second signal terminates the process immediately
	err = a.command.run(ctx, output{stdout: stdout, stderr: stderr})
	if err != nil {
		fmt.Fprintln(stderr, errorText(err))
	}
	return exitCode(err)
}

// parse parses args and selects the command. It returns a termination if kingpin has completed the call itself, as it
// does for --help.
func (a *application) parse(args []string) (terminated *termination, err error) {
	defer func() {
		panicked := recover()
		if panicked == nil {
			return
		}
		t, ok := panicked.(*termination)
		if !ok {
			panic(panicked)
		}
		terminated = t
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
	configurations := a.kingpin.Command("config", "Work with the desired state of the users' platform.")
	a.add(configurations, &configCheckCommand{})
	records := a.kingpin.Command("record", "Read and write operators' records in the platform's store.")
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

// add registers a command in a group.
func (a *application) add(group commandGroup, c command) {
	c.register(group).Action(func(*kingpin.ParseContext) error {
		a.command = c
		return nil
	})
}

// errorText returns the message to print for an error. Problems of a file already start with the file's name.
func errorText(err error) string {
	var problems yamlfile.Problems
	if errors.As(err, &problems) {
		return problems.Error()
	}
	return "citronspread: " + err.Error()
}
