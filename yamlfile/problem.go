package yamlfile

import (
	"fmt"
	"strings"
)

// Problem is one fault of a file.
type Problem struct {
	File     string
	Line     int // counted from one
	Key      string
	Expected string
}

// Error returns the fault on one line, as "file:line: key: expected …".
func (p *Problem) Error() string {
	if p.Key == "" {
		return fmt.Sprintf("%s:%d: expected %s", p.File, p.Line, p.Expected)
	}
	return fmt.Sprintf("%s:%d: %s: expected %s", p.File, p.Line, p.Key, p.Expected)
}

// Problems lists every fault found in a file.
type Problems []*Problem

// Error returns all faults, one a line.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.Error())
	}
	return strings.Join(lines, "\n")
}

// Unwrap gives errors.As access to each fault.
func (p Problems) Unwrap() []error {
	errs := make([]error, 0, len(p))
	for _, problem := range p {
		errs = append(errs, problem)
	}
	return errs
}
