package dotterelpulley_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
)

func TestOrganisationAcceptsOnlyItsTokens(t *testing.T) {
	old, fresh := dotterelpulley.Token("old").Digest(), dotterelpulley.Token("fresh").Digest()
	cases := []struct {
		name    string
		digests [dotterelpulley.TokenDigestCount]dotterelpulley.TokenDigest
		token   dotterelpulley.Token
		accepts bool
	}{
		{"no digest, no token", [2]dotterelpulley.TokenDigest{}, "", true},
		{"no digest, some token", [2]dotterelpulley.TokenDigest{}, "old", true},
		{"its token", [2]dotterelpulley.TokenDigest{old}, "old", true},
		{"the other of two tokens", [2]dotterelpulley.TokenDigest{old, fresh}, "fresh", true},
		{"another token", [2]dotterelpulley.TokenDigest{old}, "fresh", false},
		{"no token", [2]dotterelpulley.TokenDigest{old, fresh}, "", false},
		{"the digest in place of the token", [2]dotterelpulley.TokenDigest{old}, dotterelpulley.Token(old), false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			o := dotterelpulley.OrganisationSettings{ID: "council", TokenDigests: tc.digests}
			qt.Check(t, o.AcceptsToken(tc.token), qt.Equals, tc.accepts)
		})
	}
}

func TestTokenDigestsAreChecked(t *testing.T) {
	good := string(dotterelpulley.Token("old").Digest())
	digest, err := dotterelpulley.ParseTokenDigest(good)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(digest), qt.Equals, good)
	for _, bad := range []string{"", "ab", good + "00", "Z" + good[1:], "A" + good[1:]} {
		_, err := dotterelpulley.ParseTokenDigest(bad)
		qt.Check(t, err, qt.ErrorMatches, "token digest has .*", qt.Commentf("%q", bad))
	}
}
