// Package yamlfile reads YAML files with typed accessors. It refuses unknown keys and values that are out of range, and
// reports all problems of a file with their lines instead of stopping at the first.
package yamlfile

import (
	"errors"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Reader collects the problems found while reading a file.
type Reader struct {
	file     string
	problems Problems
}

// Parse parses body and returns its top-level mapping, which is empty if body is not valid YAML. The file name is only
// used in problems. Reader.Err returns the problems once the caller has read the mapping.
func Parse(file string, body []byte) (*Reader, *Mapping) {
	r := &Reader{file: file}
	tree, err := parser.ParseBytes(body, 0)
	if err != nil {
		r.add(syntaxLine(err), "", "YAML: "+syntaxMessage(err))
		return r, newMapping(r, "", 1)
	}
	if len(tree.Docs) != 1 || tree.Docs[0].Body == nil {
		r.add(1, "", "one YAML document")
		return r, newMapping(r, "", 1)
	}
	return r, r.mapping(tree.Docs[0].Body, "")
}

// HasProblems reports whether any problems have been found so far.
func (r *Reader) HasProblems() bool { return len(r.problems) > 0 }

// Err returns the problems found so far, sorted by line, as an error of type Problems. It returns nil if there are none.
func (r *Reader) Err() error {
	if len(r.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(r.problems, func(a, b *Problem) int { return a.Line - b.Line })
	return r.problems
}

func (r *Reader) add(line int, key, expected string) {
	r.problems = append(r.problems, &Problem{File: r.file, Line: line, Key: key, Expected: expected})
}

// mapping returns the mapping in node. It adds a problem and returns an empty mapping if node is something else.
func (r *Reader) mapping(node ast.Node, path string) *Mapping {
	m := newMapping(r, path, lineOf(node))
	for _, pair := range pairs(node) {
		m.addKey(pair)
	}
	if !isMapping(node) {
		r.add(m.line, path, "a mapping of keys to values")
		m.invalid = true
	}
	return m
}

func isMapping(node ast.Node) bool {
	switch node.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return true
	}
	return false
}

func pairs(node ast.Node) []*ast.MappingValueNode {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}
	}
	return nil
}

func lineOf(node ast.Node) int {
	if node == nil || node.GetToken() == nil || node.GetToken().Position == nil {
		return 1
	}
	return node.GetToken().Position.Line
}

func syntaxLine(err error) int {
	var ye yaml.Error
	if errors.As(err, &ye) && ye.GetToken() != nil && ye.GetToken().Position != nil {
		return ye.GetToken().Position.Line
	}
	return 1
}

func syntaxMessage(err error) string {
	var ye yaml.Error
	if errors.As(err, &ye) {
		return ye.GetMessage()
	}
	return err.Error()
}
