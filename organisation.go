package dotterelpulley

// OrganisationID identifies an organisation, whose callers send requests.
type OrganisationID string
