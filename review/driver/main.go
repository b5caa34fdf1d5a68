// Command driver runs one case of the review against separate processes of the project's program. Its stand-ins for the
// platform's store, the backend servers and the callers follow the users' pages.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxDuration limits a case. One that takes longer could not run.
const maxDuration = 110 * time.Second

var errEnded = errors.New("ended by a signal or after the longest duration")

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	detail string
}

// cases holds the cases by name.
var cases = map[string]func(i *installation) (verdict, error){
	"prompt-part":    runPromptPart,
	"stale-software": runStaleSoftware,
	"retry-after":    runRetryAfter,
	"software":       runSoftware,
	"relay-config":   runRelayConfig,
	"relay-drain":    runRelayDrain,
	"double-slash":   runDoubleSlash,
	"leaving":        runLeaving,
	"limit":          runLimit,
	"taken-up":       runTakenUp,
	"late-part":      runLatePart,
	"large-bodies":   runLargeBodies,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run runs a case, writes its record and returns the exit code.
func run(name, path string) int {
	log := newRecord()
	i, err := newInstallation(log, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	result, err := runLimited(i, cases[name])
	i.end()
	code := exitHeld
	switch {
	case err != nil:
		code = exitNotRun
		log.printf("not run: %v", err)
		fmt.Println("not run:", err)
	case result.broken:
		code = exitBroken
		log.printf("broken: %s", result.detail)
		fmt.Println("broken:", result.detail)
	default:
		log.printf("held: %s", result.detail)
		fmt.Println("held:", result.detail)
	}
	if err := log.write(path); err != nil {
		fmt.Fprintln(os.Stderr, "record not written:", err)
		return exitNotRun
	}
	return code
}

// runLimited runs a case until it ends, a signal arrives or maxDuration has passed.
func runLimited(i *installation, runCase func(i *installation) (verdict, error)) (verdict, error) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(signals)
	type outcome struct {
		result verdict
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		result, err := runCase(i)
		done <- outcome{result, err}
	}()
	select {
	case o := <-done:
		return o.result, o.err
	case <-signals:
	case <-time.After(maxDuration):
	}
	return verdict{}, errEnded
}
