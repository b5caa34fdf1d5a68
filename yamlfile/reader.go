// Package yamlfile reads YAML mappings strictly and lists every problem with its line.
package yamlfile

import (
	"errors"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Reader collects the problems found while a file is read.
type Reader struct {
	file     string
	problems Problems
}

// Parse parses body and returns its top mapping. The mapping is empty when body can't be parsed.
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

// Broken reports whether problems were found so far.
func (r *Reader) Broken() bool { return len(r.problems) > 0 }

// Err returns all problems in the order of their lines, or nil.
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

// mapping reads node as a mapping; anything else is a problem.
func (r *Reader) mapping(node ast.Node, path string) *Mapping {
	m := newMapping(r, path, lineOf(node))
	for _, pair := range pairs(node) {
		m.put(pair)
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
