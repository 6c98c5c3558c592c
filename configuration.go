package dotterelpulley

import "time"

// Revision numbers accepted configurations; it only rises.
type Revision int64

// ServiceSettings is what operators say of a service.
type ServiceSettings struct {
	ID   ServiceID
	Kind ServiceKind
	// Build is what the service runs before any move; its version is empty for a plain service.
	Build Build
	// ChecksFence tells whether the service's endpoints refuse an order with an old fencing number.
	ChecksFence bool
	// Repeatable tells whether a call may be sent again after its first byte may have left.
	Repeatable bool
}

// OrganisationSettings is what operators say of an organisation.
type OrganisationSettings struct {
	ID OrganisationID
	// Weight is the organisation's share within a tier against the others'; 1 if zero.
	Weight int
	// TokenDigests are of the tokens that its callers must show; an organisation without any is open.
	TokenDigests [TokenDigestCount]TokenDigest
}

// TierSettings is what operators say of a tier.
type TierSettings struct {
	// Deadline is the time that a request may take when it states none.
	Deadline time.Duration
	// FirstToken is the time in which 95 in 100 requests shall see their first token.
	FirstToken time.Duration
	// BetweenTokens is the gap that 95 in 100 tokens shall keep.
	BetweenTokens time.Duration
}

// Configuration is what operators publish on the log, at a revision.
type Configuration struct {
	Revision      Revision
	Services      []ServiceSettings
	Organisations []OrganisationSettings
	Tiers         [TierCount]TierSettings
}

// Service returns the settings of the service.
func (c Configuration) Service(id ServiceID) (ServiceSettings, bool) {
	for _, s := range c.Services {
		if s.ID == id {
			return s, true
		}
	}
	return ServiceSettings{}, false
}
