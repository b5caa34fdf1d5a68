package gateway

import "strings"

const upperHex = "0123456789ABCDEF"

// canonicalPath returns the canonical form of the path of a request or route by RFC 3986, section 6.2.2: characters that need no
// percent-encoding have none, and all others have one. Paths are equivalent if their canonical forms are equal, so that a slash
// within a segment, which is encoded, differs from one between segments.
func canonicalPath(path string) string {
	if isCanonical(path) {
		return path
	}
	var b strings.Builder
	b.Grow(len(path))
	for i := 0; i < len(path); i++ {
		c := path[i]
		decoded, isEncoded := decodeAt(path, i)
		switch {
		case isEncoded && isUnreserved(decoded):
			b.WriteByte(decoded)
		case isEncoded:
			writeEncoded(&b, decoded)
		case isUnreserved(c) || isDelimiter(c):
			b.WriteByte(c)
		default:
			writeEncoded(&b, c)
		}
		if isEncoded {
			i += 2
		}
	}
	return b.String()
}

func isCanonical(path string) bool {
	for i := range len(path) {
		if !isUnreserved(path[i]) && !isDelimiter(path[i]) {
			return false
		}
	}
	return true
}

// decodeAt returns the character that is percent-encoded at a position.
func decodeAt(path string, i int) (c byte, isEncoded bool) {
	if path[i] != '%' || i+2 >= len(path) {
		return 0, false
	}
	high, low := hexDigit(path[i+1]), hexDigit(path[i+2])
	return byte(high<<4 | low), high >= 0 && low >= 0
}

// hexDigit returns the value of a hexadecimal digit, -1 for another character.
func hexDigit(c byte) int {
	return strings.IndexByte(upperHex, strings.ToUpper(string(c))[0])
}

func writeEncoded(b *strings.Builder, c byte) {
	b.WriteByte('%')
	b.WriteByte(upperHex[c>>4])
	b.WriteByte(upperHex[c&15])
}

// isUnreserved reports whether a character means the same with and without percent-encoding.
func isUnreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("-._~", c) >= 0
}

// isDelimiter reports whether a character may stand in a path and means something else with percent-encoding.
func isDelimiter(c byte) bool { return strings.IndexByte("/:@!$&'()*+,;=", c) >= 0 }
