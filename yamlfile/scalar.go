package yamlfile

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// NamePattern matches valid names of records, models, services, zones and hosts.
var NamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)

const nameExpected = "a name of 1 to 100 letters, digits, '.', '_' or '-', the first a letter or digit"

// Text returns the string under a required key, which must not be empty.
func (m *Mapping) Text(key string) string {
	text, ok := m.scalar(key, "a string")
	if ok && text == "" {
		m.AddProblem(key, "a string that is not empty")
	}
	return text
}

// Name returns the name under a required key, which must match NamePattern.
func (m *Mapping) Name(key string) string {
	text, ok := m.scalar(key, nameExpected)
	if ok && !NamePattern.MatchString(text) {
		m.AddProblem(key, nameExpected)
	}
	return text
}

// Names returns the list of names under a required key. Each must match NamePattern and appear only once.
func (m *Mapping) Names(key string) []string {
	names := m.texts(key, "a list of names")
	for i, name := range names {
		if !NamePattern.MatchString(name) {
			m.AddProblem(key, nameExpected)
		}
		if slices.Contains(names[:i], name) {
			m.AddProblem(key, fmt.Sprintf("each name once, but %q appears twice", name))
		}
	}
	return names
}

// NamesOr returns the list of names under an optional key, or an empty list if the key is missing.
func (m *Mapping) NamesOr(key string) []string {
	if !m.Has(key) {
		return nil
	}
	return m.Names(key)
}

// Texts returns the list of strings under a required key.
func (m *Mapping) Texts(key string) []string { return m.texts(key, "a list of strings") }

// OneOf returns the string under a required key, which must be one of the allowed values.
func (m *Mapping) OneOf(key string, allowed ...string) string {
	expected := "one of " + strings.Join(allowed, ", ")
	text, ok := m.scalar(key, expected)
	if ok && !slices.Contains(allowed, text) {
		m.AddProblem(key, expected)
	}
	return text
}

// OneOfOr returns the string under an optional key, or fallback if the key is missing.
func (m *Mapping) OneOfOr(key, fallback string, allowed ...string) string {
	if !m.Has(key) {
		return fallback
	}
	return m.OneOf(key, allowed...)
}

// texts returns the list of scalars under a required key. It adds a problem for each element that is not a scalar.
func (m *Mapping) texts(key, expected string) []string {
	var texts []string
	for _, node := range m.list(key, expected) {
		text, ok := scalarText(node)
		if !ok {
			m.reader.add(lineOf(node), m.keyPath(key), expected)
			continue
		}
		texts = append(texts, text)
	}
	return texts
}

// scalar returns the text of a required key. It adds a problem if the key is missing or its value is not a scalar.
func (m *Mapping) scalar(key, expected string) (string, bool) {
	e := m.require(key, expected)
	if e == nil {
		return "", false
	}
	text, ok := scalarText(e.node)
	if !ok {
		m.AddProblem(key, expected)
	}
	return text, ok
}

// scalarText returns the text of a scalar. Numbers are returned as written in the file, so that 1.10 stays 1.10.
func scalarText(node ast.Node) (string, bool) {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.IntegerNode:
		return n.Token.Value, true
	case *ast.FloatNode:
		return n.Token.Value, true
	}
	return "", false
}
