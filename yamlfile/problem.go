package yamlfile

import (
	"fmt"
	"strings"
)

// Problem is an error in a file.
type Problem struct {
	File     string
	Line     int    // the first line is 1
	Key      string // path of the key, empty if the problem is not about a key
	Expected string // what the file should have there
}

// Error returns the problem as "file:line: key: expected …" on one line.
func (p *Problem) Error() string {
	if p.Key == "" {
		return fmt.Sprintf("%s:%d: expected %s", p.File, p.Line, p.Expected)
	}
	return fmt.Sprintf("%s:%d: %s: expected %s", p.File, p.Line, p.Key, p.Expected)
}

// Problems is the list of all problems found in a file.
type Problems []*Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.Error())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the problems as errors, so that errors.As finds each of them.
func (p Problems) Unwrap() []error {
	errs := make([]error, 0, len(p))
	for _, problem := range p {
		errs = append(errs, problem)
	}
	return errs
}
