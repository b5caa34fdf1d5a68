package yamlfile

import (
	"fmt"
	"strconv"
	"strings"
)

// Bytes returns the size in bytes under a required key. The text must include a unit, such as 8GB.
func (m *Mapping) Bytes(key string, within IntRange) int64 {
	expected := fmt.Sprintf("a size with its unit (B, KB, MB, GB, KiB, MiB, GiB), such as 8GB, from %d to %d bytes", within.Low, within.High)
	text, ok := m.scalar(key, expected)
	if !ok {
		return 0
	}
	size, valid := parseBytes(text)
	if !valid || size < within.Low || size > within.High {
		m.AddProblem(key, expected)
	}
	return size
}

// BytesOr returns the size in bytes under an optional key, or fallback if the key is missing.
func (m *Mapping) BytesOr(key string, fallback int64, within IntRange) int64 {
	if !m.Has(key) {
		return fallback
	}
	return m.Bytes(key, within)
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

// maxExactBytes is the limit up to which a float64 represents every integer exactly.
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
