package yamlfile

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// NamePattern is what names of records, models, services, zones and hosts look like.
var NamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)

const nameExpected = "a name of 1 to 100 letters, digits, '.', '_' or '-', the first a letter or digit"

// Text returns the text under a required key.
func (m *Mapping) Text(key string) string {
	text, ok := m.scalar(key, "a text")
	if ok && text == "" {
		m.Fail(key, "a text that is not empty")
	}
	return text
}

// Name returns the name under a required key.
func (m *Mapping) Name(key string) string {
	text, ok := m.scalar(key, nameExpected)
	if ok && !NamePattern.MatchString(text) {
		m.Fail(key, nameExpected)
	}
	return text
}

// Names returns the list of names under a required key, each of them once.
func (m *Mapping) Names(key string) []string {
	names := m.texts(key, "a list of names")
	for i, name := range names {
		if !NamePattern.MatchString(name) {
			m.Fail(key, nameExpected)
		}
		if slices.Contains(names[:i], name) {
			m.Fail(key, fmt.Sprintf("each name once, %q is there twice", name))
		}
	}
	return names
}

// NamesOr returns the list of names under an optional key, empty when it is missing.
func (m *Mapping) NamesOr(key string) []string {
	if !m.Has(key) {
		return nil
	}
	return m.Names(key)
}

// OneOf returns the text under a required key, which must be among the allowed ones.
func (m *Mapping) OneOf(key string, allowed ...string) string {
	expected := "one of " + strings.Join(allowed, ", ")
	text, ok := m.scalar(key, expected)
	if ok && !slices.Contains(allowed, text) {
		m.Fail(key, expected)
	}
	return text
}

// OneOfOr returns the text under an optional key, or fallback when it is missing.
func (m *Mapping) OneOfOr(key, fallback string, allowed ...string) string {
	if !m.Has(key) {
		return fallback
	}
	return m.OneOf(key, allowed...)
}

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

func (m *Mapping) scalar(key, expected string) (string, bool) {
	e := m.require(key, expected)
	if e == nil {
		return "", false
	}
	text, ok := scalarText(e.node)
	if !ok {
		m.Fail(key, expected)
	}
	return text, ok
}

// scalarText returns the text of a scalar as the file has it.
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
