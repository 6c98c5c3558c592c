package dotterelpulley

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
)

// Token is a secret that authenticates the callers of an organisation.
type Token string

// TokenDigest is the hexadecimal SHA-256 of a token; the configuration holds only digests.
type TokenDigest string

// TokenDigestCount is the number of tokens that may be valid for an organisation at once, so that tokens can be rotated.
const TokenDigestCount = 2

// Digest returns the token's digest.
func (t Token) Digest() TokenDigest {
	sum := sha256.Sum256([]byte(t))
	return TokenDigest(hex.EncodeToString(sum[:]))
}

// ParseTokenDigest returns the digest, or an error if the text is not 64 lower-case hexadecimal digits.
func ParseTokenDigest(text string) (TokenDigest, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != sha256.Size || hex.EncodeToString(raw) != text {
		return "", fmt.Errorf("token digest has %d characters, allowed are %d hexadecimal digits in lower case", len(text), 2*sha256.Size)
	}
	return TokenDigest(text), nil
}

// AcceptsToken reports whether the token is one of the organisation's or the organisation has none.
func (o OrganisationSettings) AcceptsToken(token Token) bool {
	digest := []byte(token.Digest())
	open, match := 1, 0
	for _, d := range o.TokenDigests {
		if d == "" {
			continue
		}
		open = 0
		match |= subtle.ConstantTimeCompare([]byte(d), digest)
	}
	return open|match == 1
}
