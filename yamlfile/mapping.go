package yamlfile

import (
	"fmt"
	"maps"
	"slices"

	"github.com/goccy/go-yaml/ast"
)

// entry is the value of a key in a mapping.
type entry struct {
	line int // of the key
	node ast.Node
	read bool
}

// Mapping is a YAML mapping. Its methods return the values of keys and add a problem to the Reader for each value
// that is missing or not as expected. They mark the keys as read, so that ReportUnknownKeys can report the others.
type Mapping struct {
	reader  *Reader
	path    string // keys from the top of the file, such as WeightStore or Models[0]
	line    int
	entries map[string]*entry
	invalid bool // a problem with the mapping was already added, so missing keys are not reported
}

func newMapping(r *Reader, path string, line int) *Mapping {
	return &Mapping{reader: r, path: path, line: line, entries: make(map[string]*entry), invalid: r.HasProblems() && path == ""}
}

// addKey adds a key and its value. A repeated key is a problem.
func (m *Mapping) addKey(pair *ast.MappingValueNode) {
	key := pair.Key.GetToken().Value
	line := lineOf(pair.Key)
	if _, ok := m.entries[key]; ok {
		m.reader.add(line, m.keyPath(key), "each key once")
		return
	}
	m.entries[key] = &entry{line: line, node: pair.Value}
}

// Has reports whether the mapping has the key.
func (m *Mapping) Has(key string) bool {
	_, ok := m.entries[key]
	return ok
}

// Line returns the line of a key, or the line of the mapping if the key is missing.
func (m *Mapping) Line(key string) int {
	if e, ok := m.entries[key]; ok {
		return e.line
	}
	return m.line
}

// AddProblem adds a problem with a key to the Reader.
func (m *Mapping) AddProblem(key, expected string) {
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

// MappingOr returns the mapping under an optional key, or an empty mapping if the key is missing.
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

// ReportUnknownKeys adds a problem for each key that was not read, because no such key is known.
func (m *Mapping) ReportUnknownKeys() {
	for _, key := range slices.Sorted(maps.Keys(m.entries)) {
		if !m.entries[key].read {
			m.AddProblem(key, "a known key")
		}
	}
}

// require returns the entry of a key and marks it as read. It adds a problem if the key is missing.
func (m *Mapping) require(key, expected string) *entry {
	e, ok := m.entries[key]
	if ok {
		e.read = true
		return e
	}
	if !m.invalid {
		m.AddProblem(key, expected+"; the key is missing")
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
		m.AddProblem(key, expected)
		return nil
	}
	return sequence.Values
}

// keyPath returns the path of a key from the top of the file, as used in problems.
func (m *Mapping) keyPath(key string) string {
	if m.path == "" {
		return key
	}
	return m.path + "." + key
}

// MappingsOr returns the list of mappings under an optional key, or an empty list if the key is missing.
func (m *Mapping) MappingsOr(key string) []*Mapping {
	if !m.Has(key) {
		return nil
	}
	return m.Mappings(key)
}
