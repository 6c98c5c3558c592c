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
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.follower.Configuration().Revision
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
