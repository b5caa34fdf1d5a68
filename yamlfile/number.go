package yamlfile

import (
	"fmt"
	"strconv"
	"time"
)

// IntRange is the allowed range of an integer, including both ends.
type IntRange struct {
	Low  int64
	High int64
}

// FloatRange is the allowed range of a number, including both ends.
type FloatRange struct {
	Low  float64
	High float64
}

// DurationRange is the allowed range of a duration, including both ends.
type DurationRange struct {
	Low  time.Duration
	High time.Duration
}

// Int returns the integer under a required key.
func (m *Mapping) Int(key string, within IntRange) int64 {
	expected := fmt.Sprintf("an integer from %d to %d", within.Low, within.High)
	text, ok := m.scalar(key, expected)
	if !ok {
		return 0
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < within.Low || number > within.High {
		m.AddProblem(key, expected)
	}
	return number
}

// IntOr returns the integer under an optional key, or fallback if the key is missing.
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
		m.AddProblem(key, expected)
	}
	return number
}

// FloatOr returns the number under an optional key, or fallback if the key is missing.
func (m *Mapping) FloatOr(key string, fallback float64, within FloatRange) float64 {
	if !m.Has(key) {
		return fallback
	}
	return m.Float(key, within)
}

// Duration returns the duration under a required key. The text must include a unit, such as 30s.
func (m *Mapping) Duration(key string, within DurationRange) time.Duration {
	expected := fmt.Sprintf("a duration with its unit, such as 1500ms or 30s, from %s to %s", within.Low, within.High)
	text, ok := m.scalar(key, expected)
	if !ok {
		return 0
	}
	duration, err := time.ParseDuration(text)
	if err != nil || !endsInUnit(text) || duration < within.Low || duration > within.High {
		m.AddProblem(key, expected)
	}
	return duration
}

// DurationOr returns the duration under an optional key, or fallback if the key is missing.
func (m *Mapping) DurationOr(key string, fallback time.Duration, within DurationRange) time.Duration {
	if !m.Has(key) {
		return fallback
	}
	return m.Duration(key, within)
}

// endsInUnit reports whether text ends in something other than a digit. It refuses 0, which time.ParseDuration accepts
// without a unit.
func endsInUnit(text string) bool {
	last := text[len(text)-1]
	return last < '0' || last > '9'
}
