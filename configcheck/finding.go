package configcheck

import (
	"fmt"
	"strings"
)

// Severity orders findings.
type Severity int

const (
	// Note is for a value that changes nothing, or less than it may seem, and may be intended.
	Note Severity = iota
	// Warning is for a value that hosts accept and that does not do what it seems to say.
	Warning
	// Error is for a desired state that hosts would not apply.
	Error
)

// String returns the severity in lower case.
func (s Severity) String() string {
	switch s {
	case Note:
		return "note"
	case Warning:
		return "warning"
	case Error:
		return "error"
	}
	return fmt.Sprintf("severity %d", int(s))
}

// Entry is a part of the desired state.
type Entry struct {
	Path string // such as routes[2], empty for the whole
	Name string // empty if it has none, or if a key is in it
}

// String returns the path and the name.
func (e Entry) String() string {
	if e.Name == "" {
		return e.Path
	}
	return fmt.Sprintf("%s %q", e.Path, e.Name)
}

// Finding is something that is wrong with a desired state. It contains no key.
type Finding struct {
	Severity Severity
	Entry    Entry
	Field    string // empty for the whole entry
	Reason   string
}

// String returns the finding as one line.
func (f Finding) String() string {
	parts := []string{f.Severity.String()}
	for _, part := range []string{f.Entry.String(), f.Field, f.Reason} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	return strings.Join(parts, ": ")
}
