package yamlfile

import (
	"fmt"
	"maps"
	"slices"

	"github.com/goccy/go-yaml/ast"
)

// entry is one key of a mapping.
type entry struct {
	line int
	node ast.Node
	used bool
}

// Mapping is a mapping of a file. Each read of a key marks it as known.
type Mapping struct {
	reader  *Reader
	path    string
	line    int
	entries map[string]*entry
	invalid bool // its lines could not be read, so missing keys are no news
}

func newMapping(r *Reader, path string, line int) *Mapping {
	return &Mapping{reader: r, path: path, line: line, entries: make(map[string]*entry), invalid: r.Broken() && path == ""}
}

func (m *Mapping) put(pair *ast.MappingValueNode) {
	key := pair.Key.GetToken().Value
	line := lineOf(pair.Key)
	if _, ok := m.entries[key]; ok {
		m.reader.add(line, m.keyPath(key), "each key once")
		return
	}
	m.entries[key] = &entry{line: line, node: pair.Value}
}

// Has reports whether the key is in the file.
func (m *Mapping) Has(key string) bool {
	_, ok := m.entries[key]
	return ok
}

// Line returns the line of a key, or that of the mapping when the key is missing.
func (m *Mapping) Line(key string) int {
	if e, ok := m.entries[key]; ok {
		return e.line
	}
	return m.line
}

// Fail adds a problem with a key.
func (m *Mapping) Fail(key, expected string) {
	m.reader.add(m.Line(key), m.keyPath(key), expected)
}

// Mapping returns the mapping under a required key.
func (m *Mapping) Mapping(key string) *Mapping {
	e := m.require(key, "a mapping of keys to values")
	if e == nil {
		missing := newMapping(m.reader, m.keyPath(key), m.line)
		missing.invalid = true
		return missing
	}
	return m.reader.mapping(e.node, m.keyPath(key))
}

// MappingOr returns the mapping under an optional key, empty when it is missing.
func (m *Mapping) MappingOr(key string) *Mapping {
	if !m.Has(key) {
		return newMapping(m.reader, m.keyPath(key), m.line)
	}
	return m.Mapping(key)
}

// Mappings returns the list of mappings under a required key.
func (m *Mapping) Mappings(key string) []*Mapping {
	var all []*Mapping
	for i, node := range m.list(key, "a list of mappings") {
		all = append(all, m.reader.mapping(node, fmt.Sprintf("%s[%d]", m.keyPath(key), i)))
	}
	return all
}

// Close adds a problem for each key that was not read.
func (m *Mapping) Close() {
	for _, key := range slices.Sorted(maps.Keys(m.entries)) {
		if !m.entries[key].used {
			m.Fail(key, "no such key")
		}
	}
}

// require returns the entry of a key; a missing one is a problem.
func (m *Mapping) require(key, expected string) *entry {
	e, ok := m.entries[key]
	if ok {
		e.used = true
		return e
	}
	if !m.invalid {
		m.Fail(key, expected+"; the key is missing")
	}
	return nil
}

func (m *Mapping) list(key, expected string) []ast.Node {
	e := m.require(key, expected)
	if e == nil {
		return nil
	}
	sequence, ok := e.node.(*ast.SequenceNode)
	if !ok {
		m.Fail(key, expected)
		return nil
	}
	return sequence.Values
}

func (m *Mapping) keyPath(key string) string {
	if m.path == "" {
		return key
	}
	return m.path + "." + key
}

// MappingsOr returns the list of mappings under an optional key, empty when it is missing.
func (m *Mapping) MappingsOr(key string) []*Mapping {
	if !m.Has(key) {
		return nil
	}
	return m.Mappings(key)
}
