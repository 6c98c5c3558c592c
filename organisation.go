package dotterelpulley

// OrganisationID names an organisation whose callers send requests.
type OrganisationID string
