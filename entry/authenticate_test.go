package entry

import (
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
)

const tokenConfiguration = `
[[services]]
id = "drafting-pool"
kind = "model"
model = "draft"
version = "1"

[[organisations]]
id = "council"
token-digests = [%q]
`

// TestRequestsRequireTheOrganisationsToken sends one key with the token, and to both hosts with wrong tokens.
func TestRequestsRequireTheOrganisationsToken(t *testing.T) {
	f := newFleet(t, 2, nil)
	token := dotterelpulley.Token("a secret of the council")
	f.publish(fmt.Sprintf(tokenConfiguration, token.Digest()))

	const prompt = "works letter len=4"
	status, answer := f.send(0, "letter-1", prompt, token)
	f.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", answer))

	for _, wrong := range []dotterelpulley.Token{"", "a guess", dotterelpulley.Token(token.Digest())} {
		for host := range f.entries {
			status, text := f.send(host, "letter-1", prompt, wrong)
			f.Check(status, qt.Equals, http.StatusUnauthorized, qt.Commentf("token %q: %s", wrong, text))
			f.Check(string(text), qt.Contains, `"error":"unauthenticated"`)
		}
	}
	f.Check(f.engine.Ledger.Runs(), qt.HasLen, 1)
}
