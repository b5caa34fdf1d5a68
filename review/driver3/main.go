// Command driver3 plays the scripts of the third review: entry hosts as separate processes on loopback addresses, with stand-ins
// for the platform's store, the backend servers and the callers inside this process.
package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun bounds a run. It is below the 120 s that a script may take.
const maxRun = 110 * time.Second

// scenario plays one case and reports whether the rule was broken.
type scenario func(w *world) (broken bool, err error)

var scenarios = map[string]scenario{
	"lapse":   playLapse,
	"limit":   playLimit,
	"backoff": playBackOff,
	"path":    playPath,
	"twice":   playTwice,
}

// init keeps the main goroutine on the main thread. The hosts are started from there and end with that thread.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: driver3 SCENARIO FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs a scenario and writes record.txt into the folder of the case.
func play(name, folder string) int {
	run, known := scenarios[name]
	if !known {
		fmt.Fprintf(os.Stderr, "driver3: no scenario %q\n", name)
		return exitNotRun
	}
	w, err := newWorld(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, "driver3:", err)
		return exitNotRun
	}
	defer w.close()
	time.AfterFunc(maxRun, func() {
		w.note("the run took longer than %s", maxRun)
		w.close()
		os.Exit(exitNotRun)
	})
	broken, err := run(w)
	switch {
	case err != nil:
		w.note("not run: %v", err)
		return exitNotRun
	case broken:
		w.note("verdict: the rule was broken")
		return exitBroken
	}
	w.note("verdict: the rule held")
	return exitHeld
}
