package entry

import "github.com/dotterelpulley/dotterelpulley"

// organisation returns the settings of the organisation; one that is not listed has none.
func (f *followed) organisation(id dotterelpulley.OrganisationID) dotterelpulley.OrganisationSettings {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.indexOrganisations()
	if o, ok := f.organisations[id]; ok {
		return o
	}
	return dotterelpulley.OrganisationSettings{ID: id}
}

// revision returns the revision of the configuration in force.
func (f *followed) revision() dotterelpulley.Revision {
	return f.configuration().Revision
}

// configuration returns the configuration in force.
func (f *followed) configuration() dotterelpulley.Configuration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.follower.Configuration()
}

// serves reports whether the configuration in force has the service.
func (f *followed) serves(id dotterelpulley.ServiceID) bool {
	_, ok := f.configuration().Service(id)
	return ok
}

// indexOrganisations takes the organisations of a new configuration.
func (f *followed) indexOrganisations() {
	c := f.follower.Configuration()
	if c.Revision == f.organisationsAt && f.organisations != nil {
		return
	}
	f.organisationsAt = c.Revision
	f.organisations = make(map[dotterelpulley.OrganisationID]dotterelpulley.OrganisationSettings, len(c.Organisations))
	for _, o := range c.Organisations {
		f.organisations[o.ID] = o
	}
}
