// Package configcheck finds what is wrong with a desired state before it is written, and how it differs from the one in force.
// It decides by the decoder and the checks that hosts use.
package configcheck

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"citronspread/model"
	"citronspread/platform"
)

// Report is the result of a check.
type Report struct {
	Version     int64        // of the checked desired state, 0 if hosts would reject it
	Findings    []Finding    // most severe first
	Differences []Difference // from the desired state in force, if that is given
}

// Count returns the number of findings of a severity.
func (r Report) Count(severity Severity) (count int) {
	for _, f := range r.Findings {
		if f.Severity == severity {
			count++
		}
	}
	return count
}

// checker collects findings about one desired state.
type checker struct {
	state    model.DesiredState
	secrets  secrets
	findings []Finding
}

// Check checks a value of platform.ConfigurationKey. inForce is the desired state in force, nil if it is not known.
func Check(value []byte, inForce *model.DesiredState) Report {
	known := model.DesiredState{}
	if inForce != nil {
		known = *inForce
	}
	state, replaced, err := platform.ReviewConfiguration(value)
	if err != nil {
		return Report{Findings: []Finding{rejected(err, secretsOf(known))}}
	}
	c := &checker{state: state, secrets: secretsOf(state, known)}
	for _, r := range replaced {
		c.add(Warning, c.secrets.entry(r.Path, r.Name), r.Field, r.Reason)
	}
	c.checkRoutes()
	c.checkServices()
	c.checkWorkspaces()
	report := Report{Version: state.Version}
	if inForce != nil {
		report.Differences = compare(known, state, c.secrets)
		c.checkAgainst(known, len(report.Differences) > 0)
	} else if state.Version < 1 {
		c.add(Warning, Entry{}, platform.FieldVersion, "not above 0, so hosts that start can't get it from other hosts")
	}
	report.Findings = c.findings
	slices.SortStableFunc(report.Findings, func(a, b Finding) int { return cmp.Compare(b.Severity, a.Severity) })
	return report
}

// rejected returns the finding for a desired state that hosts would reject. Its keys are not known, and the decoder shows none
// of them; the given keys are those in force.
func rejected(err error, inForce secrets) Finding {
	f := Finding{Severity: Error, Reason: err.Error()}
	var invalid *platform.DecodeError
	if errors.As(err, &invalid) {
		f.Field, f.Reason = invalid.Field, invalid.Cause.Error()
	}
	if inForce.areIn(f.Reason) || inForce.quoted().areIn(f.Reason) {
		f.Reason = "invalid; the reason is not shown, because a key in force is in it"
	}
	return f
}

func (c *checker) add(severity Severity, entry Entry, field, reason string) {
	c.findings = append(c.findings, Finding{Severity: severity, Entry: entry, Field: field, Reason: reason})
}

// checkAgainst checks what would happen at hosts that have the desired state in force.
func (c *checker) checkAgainst(inForce model.DesiredState, differs bool) {
	switch {
	case c.state.Version < inForce.Version:
		c.add(Error, Entry{}, platform.FieldVersion, fmt.Sprintf("%d is lower than the version in force, %d, so hosts would ignore it", c.state.Version, inForce.Version))
	case c.state.Version == inForce.Version && differs:
		c.add(Error, Entry{}, platform.FieldVersion, fmt.Sprintf("%d is also the version in force, whose content differs, so hosts would ignore it", c.state.Version))
	}
	if len(c.state.Workspaces) == 0 && len(inForce.Workspaces) > 0 {
		c.add(Warning, Entry{}, platform.FieldWorkspaces, "the last workspace is removed, so callers need no keys any more")
	}
}
