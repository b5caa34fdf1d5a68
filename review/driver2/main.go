// Command driver2 plays the cases of the second review whose faults can't be put as a day of the bench: it starts entry hosts
// as processes beside stand-ins for the metadata store, the servers and the clients.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held     = 0 // the rule held
	broken   = 1 // the rule was broken
	notShown = 2 // the case could not run
)

// serviceHost is the host name of all routes.
const serviceHost = "ficu95.example"

// Troubles that TROUBLE names. Without it a case plays all that it has.
const (
	troubleNone  = "0"
	troubleKill  = "kill"  // the kill alone
	troubleDrill = "drill" // the restored store alone
)

var cases = map[string]func(dir string, log *record, trouble string) int{
	"order":   playOrder,
	"restart": playRestart,
	"plain":   playPlain,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver2 CASE RECORD")
		os.Exit(notShown)
	}
	log, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notShown)
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notShown)
	}
	code := cases[os.Args[1]](dir, log, os.Getenv("TROUBLE"))
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	log.Printf("exit code %d", code)
	os.Exit(code)
}
