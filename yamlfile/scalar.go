package yamlfile

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// NamePattern is what names of records, models, services, zones and hosts look like.
var NamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)

const nameExpected = "a name of 1 to 100 letters, digits, '.', '_' or '-', the first a letter or digit"

// IntRange bounds a whole number, both ends included.
type IntRange struct {
	Low  int64
	High int64
}

// FloatRange bounds a number, both ends included.
type FloatRange struct {
	Low  float64
	High float64
}

// DurationRange bounds a duration, both ends included.
type DurationRange struct {
	Low  time.Duration
	High time.Duration
}

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

// Int returns the whole number under a required key.
func (m *Mapping) Int(key string, within IntRange) int64 {
	expected := fmt.Sprintf("a whole number from %d to %d", within.Low, within.High)
	text, ok := m.scalar(key, expected)
	if !ok {
		return 0
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < within.Low || number > within.High {
		m.Fail(key, expected)
	}
	return number
}

// IntOr returns the whole number under an optional key, or fallback when it is missing.
func (m *Mapping) IntOr(key string, fallback int64, within IntRange) int64 {
	if !m.Has(key) {
		return fallback
	}
	return m.Int(key, within)
}

// Float returns the number under a required key.
func (m *Mapping) Float(key string, within FloatRange) float64 {
	expected := fmt.Sprintf("a number from %g to %g", within.Low, within.High)
	text, ok := m.scalar(key, expected)
	if !ok {
		return 0
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || !(number >= within.Low && number <= within.High) {
		m.Fail(key, expected)
	}
	return number
}

// FloatOr returns the number under an optional key, or fallback when it is missing.
func (m *Mapping) FloatOr(key string, fallback float64, within FloatRange) float64 {
	if !m.Has(key) {
		return fallback
	}
	return m.Float(key, within)
}

// Duration returns the duration under a required key; its unit is part of the text.
func (m *Mapping) Duration(key string, within DurationRange) time.Duration {
	expected := fmt.Sprintf("a duration with its unit, such as 1500ms or 30s, from %s to %s", within.Low, within.High)
	text, ok := m.scalar(key, expected)
	if !ok {
		return 0
	}
	duration, err := time.ParseDuration(text)
	if err != nil || !endsInUnit(text) || duration < within.Low || duration > within.High {
		m.Fail(key, expected)
	}
	return duration
}

// DurationOr returns the duration under an optional key, or fallback when it is missing.
func (m *Mapping) DurationOr(key string, fallback time.Duration, within DurationRange) time.Duration {
	if !m.Has(key) {
		return fallback
	}
	return m.Duration(key, within)
}

// Bytes returns the size under a required key; its unit is part of the text.
func (m *Mapping) Bytes(key string, within IntRange) int64 {
	expected := fmt.Sprintf("a size with its unit (B, KB, MB, GB, KiB, MiB, GiB), such as 8GB, from %d to %d bytes", within.Low, within.High)
	text, ok := m.scalar(key, expected)
	if !ok {
		return 0
	}
	size, valid := parseBytes(text)
	if !valid || size < within.Low || size > within.High {
		m.Fail(key, expected)
	}
	return size
}

// BytesOr returns the size under an optional key, or fallback when it is missing.
func (m *Mapping) BytesOr(key string, fallback int64, within IntRange) int64 {
	if !m.Has(key) {
		return fallback
	}
	return m.Bytes(key, within)
}

const addressExpected = "an address as IP:port, such as 127.0.0.1:8101"

// Address returns the IP address and port under a required key.
func (m *Mapping) Address(key string) string {
	text, ok := m.scalar(key, addressExpected)
	if ok && !isAddress(text) {
		m.Fail(key, addressExpected)
	}
	return text
}

// Addresses returns the list of addresses under a required key.
func (m *Mapping) Addresses(key string) []string {
	addresses := m.texts(key, "a list of addresses, each as IP:port")
	for _, address := range addresses {
		if !isAddress(address) {
			m.Fail(key, addressExpected)
		}
	}
	return addresses
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

func endsInUnit(text string) bool {
	last := text[len(text)-1]
	return last < '0' || last > '9'
}

func isAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0
}

var byteUnits = []struct {
	suffix string
	factor int64
}{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
	{"KB", 1e3},
	{"MB", 1e6},
	{"GB", 1e9},
	{"B", 1},
}

// maxExactBytes is the largest size up to which a float64 holds each whole number.
const maxExactBytes = 1 << 53

func parseBytes(text string) (int64, bool) {
	for _, unit := range byteUnits {
		digits, ok := strings.CutSuffix(text, unit.suffix)
		if !ok {
			continue
		}
		number, err := strconv.ParseFloat(strings.TrimSpace(digits), 64)
		size := number * float64(unit.factor)
		if err != nil || !(size >= 0 && size <= maxExactBytes) {
			return 0, false
		}
		return int64(size), true
	}
	return 0, false
}
