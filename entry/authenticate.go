package entry

import (
	"strings"

	"github.com/gofiber/fiber/v3"

	"github.com/dotterelpulley/dotterelpulley"
)

const bearer = "Bearer "

// authenticate refuses a caller that does not present one of the organisation's tokens.
func (e *Entry) authenticate(c fiber.Ctx, organisation dotterelpulley.OrganisationID) *dotterelpulley.Refusal {
	token, _ := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), bearer)
	if e.logState.organisation(organisation).AcceptsToken(dotterelpulley.Token(token)) {
		return nil
	}
	return dotterelpulley.Refuse(dotterelpulley.ErrorUnauthenticated, 0, "the organisation's token is missing or wrong")
}
