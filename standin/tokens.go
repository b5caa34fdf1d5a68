package standin

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ExpectedTokens returns the tokens that an engine generates for a prompt. The key is "model@version", or
// "model@version+adapter".
func ExpectedTokens(key, prompt string, maxTokens int) []string {
	seed := tokenSeed(key, prompt)
	tokens := make([]string, 0, maxTokens)
	for i := range maxTokens {
		tokens = append(tokens, tokenAt(seed, i))
	}
	return tokens
}

// ExpectedText returns the complete text that an engine generates for a prompt. See ExpectedTokens for the key.
func ExpectedText(key, prompt string, maxTokens int) string {
	return strings.Join(ExpectedTokens(key, prompt, maxTokens), "")
}

func tokenSeed(key, prompt string) uint64 {
	return xxhash.Sum64String(key + "\x00" + prompt)
}

// tokenAt returns a pseudorandom token. It applies the finalizer of splitmix64 to seed and index, so that any token can
// be computed without the preceding ones.
func tokenAt(seed uint64, index int) string {
	z := seed + uint64(index+1)*0x9e3779b97f4a7c15
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	z ^= z >> 31
	return " " + strconv.FormatUint(z>>40, 36)
}
