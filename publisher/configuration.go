package publisher

import (
	"fmt"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/decoder"
)

// The latency targets of a tier whose settings give none.
const (
	defaultFirstTokenTarget = 740 * time.Millisecond
	defaultTokenGapTarget   = 41 * time.Millisecond
)

const maxWeight = 1000

// ParseConfiguration decodes and validates a configuration file; name is the file's name in errors.
func ParseConfiguration(name string, data []byte) (dotterelpulley.Configuration, error) {
	var w wireConfiguration
	if err := decoder.Decode(name, data, &w); err != nil {
		return dotterelpulley.Configuration{}, err
	}
	r := report{lines: decoder.IndexLines(name, data)}
	c := dotterelpulley.Configuration{
		Services:      r.services(w.Services),
		Organisations: r.organisations(w.Organisations),
		Tiers:         r.tiers(w.Tiers),
	}
	return c, r.err()
}

func (r *report) services(from []wireService) []dotterelpulley.ServiceSettings {
	if len(from) == 0 {
		r.add("services", "must hold at least one service")
	}
	seen := map[string]bool{}
	var services []dotterelpulley.ServiceSettings
	for i, w := range from {
		key := fmt.Sprintf("services[%d]", i)
		r.uniqueID(key, w.ID, seen)
		services = append(services, r.service(key, w))
	}
	return services
}

func (r *report) uniqueID(key, id string, seen map[string]bool) {
	if id == "" {
		r.add(key+".id", "must not be empty")
		return
	}
	if seen[id] {
		r.add(key+".id", "%q stands twice", id)
	}
	seen[id] = true
}

func (r *report) service(key string, w wireService) dotterelpulley.ServiceSettings {
	kind, err := dotterelpulley.ParseServiceKind(w.Kind)
	if err != nil {
		r.add(key+".kind", "%v", err)
		return dotterelpulley.ServiceSettings{}
	}
	if kind == dotterelpulley.ServiceModel {
		r.required(key+".model", w.Model)
		r.required(key+".version", w.Version)
	} else {
		r.modelOnly(key+".model", w.Model)
		r.modelOnly(key+".adapter", w.Adapter)
		r.modelOnly(key+".version", w.Version)
	}
	return dotterelpulley.ServiceSettings{
		ID:           dotterelpulley.ServiceID(w.ID),
		Kind:         kind,
		InitialBuild: wireBuild{Model: w.Model, Adapter: w.Adapter, Version: w.Version}.fromWire(),
		ChecksFence:  w.ChecksFence,
		Repeatable:   w.Repeatable,
	}
}

func (r *report) required(key, value string) {
	if value == "" {
		r.add(key, "must not be empty for a service of kind \"model\"")
	}
}

func (r *report) modelOnly(key, value string) {
	if value != "" {
		r.add(key, "is allowed for a service of kind \"model\" only")
	}
}

func (r *report) organisations(from []wireOrganisation) []dotterelpulley.OrganisationSettings {
	seen := map[string]bool{}
	var organisations []dotterelpulley.OrganisationSettings
	for i, w := range from {
		key := fmt.Sprintf("organisations[%d]", i)
		r.uniqueID(key, w.ID, seen)
		weight := 1
		if w.Weight != nil {
			weight = *w.Weight
		}
		if weight < 1 || weight > maxWeight {
			r.add(key+".weight", "%d is outside 1 to %d", weight, maxWeight)
		}
		organisations = append(organisations, dotterelpulley.OrganisationSettings{
			ID:           dotterelpulley.OrganisationID(w.ID),
			Weight:       weight,
			TokenDigests: r.tokenDigests(key+".token-digests", w.TokenDigests),
		})
	}
	return organisations
}

func (r *report) tokenDigests(key string, from []string) (digests [dotterelpulley.TokenDigestCount]dotterelpulley.TokenDigest) {
	if len(from) > len(digests) {
		r.add(key, "%d digests are given, allowed are %d", len(from), len(digests))
		return digests
	}
	for i, text := range from {
		d, err := dotterelpulley.ParseTokenDigest(text)
		if err != nil {
			r.add(key, "%v", err)
		}
		digests[i] = d
	}
	return digests
}

func (r *report) tiers(from map[string]wireTier) [dotterelpulley.TierCount]dotterelpulley.TierSettings {
	var tiers [dotterelpulley.TierCount]dotterelpulley.TierSettings
	for t := range tiers {
		tier := dotterelpulley.Tier(t)
		key := "tiers." + tier.String()
		w := from[tier.String()]
		tiers[t] = dotterelpulley.TierSettings{
			DefaultDeadline:  r.duration(key+".deadline", w.Deadline, tier.DefaultDeadline()),
			FirstTokenTarget: r.duration(key+".first-token", w.FirstToken, defaultFirstTokenTarget),
			TokenGapTarget:   r.duration(key+".between-tokens", w.BetweenTokens, defaultTokenGapTarget),
		}
	}
	for name := range from {
		if _, err := dotterelpulley.ParseTier(name); err != nil {
			r.add("tiers."+name, "%v", err)
		}
	}
	return tiers
}

func (w wireBuild) fromWire() dotterelpulley.Build {
	return dotterelpulley.Build{
		Version: dotterelpulley.VersionID(w.Version),
		Model:   dotterelpulley.ModelID(w.Model),
		Adapter: dotterelpulley.AdapterID(w.Adapter),
	}
}
