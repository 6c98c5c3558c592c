package entry

import "github.com/dotterelpulley/dotterelpulley"

// organisation returns the settings of the organisation, or empty ones if it is not configured.
func (l *logState) organisation(id dotterelpulley.OrganisationID) dotterelpulley.OrganisationSettings {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.indexOrganisations()
	if o, ok := l.organisations[id]; ok {
		return o
	}
	return dotterelpulley.OrganisationSettings{ID: id}
}

// revision returns the revision of the configuration in force.
func (l *logState) revision() dotterelpulley.Revision {
	return l.configuration().Revision
}

// configuration returns the configuration in force.
func (l *logState) configuration() dotterelpulley.Configuration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.follower.Configuration()
}

// serves reports whether the configuration in force contains the service.
func (l *logState) serves(id dotterelpulley.ServiceID) bool {
	_, ok := l.configuration().Service(id)
	return ok
}

// indexOrganisations rebuilds the index of organisations if the configuration has changed.
func (l *logState) indexOrganisations() {
	c := l.follower.Configuration()
	if c.Revision == l.organisationsAt && l.organisations != nil {
		return
	}
	l.organisationsAt = c.Revision
	l.organisations = make(map[dotterelpulley.OrganisationID]dotterelpulley.OrganisationSettings, len(c.Organisations))
	for _, o := range c.Organisations {
		l.organisations[o.ID] = o
	}
}
