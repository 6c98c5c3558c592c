package router

import (
	"net"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelpulley/dotterelpulley"
)

// Table is a configuration indexed for matching; the zero value has no routes.
type Table struct {
	Configuration
	byHost map[string][]*Route
	keys   map[CallerKey]*Organisation
}

// NewTable returns the table of the configuration, which must not be modified afterwards.
func NewTable(c Configuration) *Table {
	t := &Table{
		Configuration: c,
		byHost:        map[string][]*Route{},
		keys:          map[CallerKey]*Organisation{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Organisations {
		o := &c.Organisations[i]
		for _, k := range o.Keys {
			t.keys[k] = o
		}
	}
	return t
}

// Match returns the host's route with the longest matching path prefix.
func (t *Table) Match(host, path string) (*Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// RequiresKey reports whether requests to non-public routes require a key.
func (t *Table) RequiresKey() bool {
	return len(t.Organisations) > 0
}

// OrganisationForKey returns the organisation that holds the key.
func (t *Table) OrganisationForKey(key CallerKey) (*Organisation, bool) {
	o, ok := t.keys[key]
	return o, ok
}

// SelectService returns the service for the request, chosen by hash according to the weights of the route's shares.
func (r *Route) SelectService(requestID string) (dotterelpulley.ServiceID, bool) {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return "", false
	}
	const hashRange = 1 << 32
	remaining := float64(xxhash.Sum64String(requestID)>>32) / hashRange * total
	for _, s := range r.Shares {
		remaining -= s.Weight
		if remaining < 0 && s.Weight > 0 {
			return s.Service, true
		}
	}
	return r.Shares[len(r.Shares)-1].Service, true
}
