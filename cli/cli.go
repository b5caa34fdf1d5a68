// Package cli parses the command line and runs the chosen command.
package cli

import (
	"fmt"
	"io"
)

// ExitUsage is the exit code for bad arguments or settings.
const ExitUsage = 2

// Run runs the command named by args and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	fmt.Fprintln(stderr, "cli: no command yet")
	return ExitUsage
}
