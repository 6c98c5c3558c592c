package recorder

import (
	"fmt"
	"slices"

	"github.com/dotterelpulley/dotterelpulley"
)

// Apply returns the configuration with the delta applied, or the reason why the delta is invalid.
func (d Delta) Apply(c dotterelpulley.Configuration) (dotterelpulley.Configuration, string) {
	c.Services = slices.Clone(c.Services)
	c.Organisations = slices.Clone(c.Organisations)
	for _, id := range d.RemoveServices {
		c.Services = slices.DeleteFunc(c.Services, func(s dotterelpulley.ServiceSettings) bool { return s.ID == id })
	}
	for _, id := range d.RemoveOrganisations {
		c.Organisations = slices.DeleteFunc(c.Organisations, func(o dotterelpulley.OrganisationSettings) bool { return o.ID == id })
	}
	for _, s := range d.Services {
		if reason := setService(&c, s); reason != "" {
			return c, reason
		}
	}
	if reason := setOrganisations(&c, d.Organisations); reason != "" {
		return c, reason
	}
	for _, t := range d.Tiers {
		if !t.Tier.Valid() {
			return c, fmt.Sprintf("tier %d does not exist", int(t.Tier))
		}
		c.Tiers[t.Tier] = t.Settings
	}
	return c, ""
}

func setService(c *dotterelpulley.Configuration, s dotterelpulley.ServiceSettings) string {
	if s.ID == "" {
		return "a service has no id"
	}
	i := slices.IndexFunc(c.Services, func(o dotterelpulley.ServiceSettings) bool { return o.ID == s.ID })
	if i < 0 {
		c.Services = append(c.Services, s)
		return ""
	}
	if c.Services[i].InitialBuild != s.InitialBuild {
		return fmt.Sprintf("service %q: its build changes by a release note only", s.ID)
	}
	c.Services[i] = s
	return ""
}

func setOrganisations(c *dotterelpulley.Configuration, changed []dotterelpulley.OrganisationSettings) string {
	if len(changed) == 0 {
		return ""
	}
	indexes := make(map[dotterelpulley.OrganisationID]int, len(c.Organisations)+len(changed))
	for i, o := range c.Organisations {
		indexes[o.ID] = i
	}
	for _, o := range changed {
		if o.ID == "" {
			return "an organisation has no id"
		}
		if o.Weight < 0 {
			return fmt.Sprintf("organisation %q: weight %d is below 0", o.ID, o.Weight)
		}
		i, known := indexes[o.ID]
		if known {
			c.Organisations[i] = o
			continue
		}
		indexes[o.ID] = len(c.Organisations)
		c.Organisations = append(c.Organisations, o)
	}
	return ""
}

// Diff returns the delta that turns configuration from into configuration to.
func Diff(from, to dotterelpulley.Configuration) Delta {
	var d Delta
	for _, s := range to.Services {
		if old, ok := from.Service(s.ID); !ok || old != s {
			d.Services = append(d.Services, s)
		}
	}
	for _, s := range from.Services {
		if _, ok := to.Service(s.ID); !ok {
			d.RemoveServices = append(d.RemoveServices, s.ID)
		}
	}
	fromByID, toByID := organisationsByID(from), organisationsByID(to)
	for _, o := range to.Organisations {
		if before, ok := fromByID[o.ID]; !ok || before != o {
			d.Organisations = append(d.Organisations, o)
		}
	}
	for _, o := range from.Organisations {
		if _, ok := toByID[o.ID]; !ok {
			d.RemoveOrganisations = append(d.RemoveOrganisations, o.ID)
		}
	}
	for t := range to.Tiers {
		if to.Tiers[t] != from.Tiers[t] {
			d.Tiers = append(d.Tiers, TierDelta{Tier: dotterelpulley.Tier(t), Settings: to.Tiers[t]})
		}
	}
	return d
}

// Empty reports whether the delta changes nothing.
func (d Delta) Empty() bool {
	return len(d.Services)+len(d.Organisations)+len(d.Tiers)+len(d.RemoveServices)+len(d.RemoveOrganisations) == 0
}

func organisationsByID(c dotterelpulley.Configuration) map[dotterelpulley.OrganisationID]dotterelpulley.OrganisationSettings {
	byID := make(map[dotterelpulley.OrganisationID]dotterelpulley.OrganisationSettings, len(c.Organisations))
	for _, o := range c.Organisations {
		byID[o.ID] = o
	}
	return byID
}
