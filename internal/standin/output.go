package standin

import (
	"math"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	minOutput     = 8
	outputSpread  = 100
	bytesPerToken = 4
	hashRange     = 1 << 53
	goldenRatio   = 0x9e3779b97f4a7c15
)

var lengthMarker = regexp.MustCompile(`len=(\d+)`)

// Output returns the tokens that every engine generates for the prompt. Their number is given by the marker
// "len=NNN" in the prompt, or else is 8 to 800 by its hash; it is at most maxTokens if that is positive.
func Output(prompt string, maxTokens int) []string {
	seed := xxhash.Sum64String(prompt)
	n := outputLength(prompt, seed)
	if maxTokens > 0 {
		n = min(n, maxTokens)
	}
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = token(seed, uint64(i))
	}
	return tokens
}

// Digest returns the xxhash64 of the complete output in hexadecimal.
func Digest(tokens []string) string {
	return digestOf(strings.Join(tokens, ""))
}

// PromptTokens returns the number of tokens in the prompt, as engines count them.
func PromptTokens(prompt string) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}

func digestOf(body string) string {
	return strconv.FormatUint(xxhash.Sum64String(body), 16)
}

func outputLength(prompt string, seed uint64) int {
	if m := lengthMarker.FindStringSubmatch(prompt); m != nil {
		if n, err := strconv.Atoi(m[1]); err == nil {
			return n
		}
	}
	fraction := float64(seed>>11) / hashRange
	return int(minOutput * math.Pow(outputSpread, fraction))
}

func token(seed, index uint64) string {
	x := seed + (index+1)*goldenRatio
	x ^= x >> 31
	x *= goldenRatio
	x ^= x >> 29
	return "w" + strconv.FormatUint(x>>48, 36) + " "
}
