package loader

import (
	"fmt"
	"sort"

	"github.com/dotterelpulley/dotterelpulley"
)

// Class is one type of request in a profile's mix.
type Class struct {
	Kind    dotterelpulley.RequestKind
	Tier    dotterelpulley.Tier
	Service dotterelpulley.ServiceID
	Route   dotterelpulley.RouteID
	// Weight is the class's share of arrivals relative to the other classes.
	Weight int
	// MinOutput and MaxOutput bound the output tokens; both are zero for plain services.
	MinOutput dotterelpulley.Tokens
	MaxOutput dotterelpulley.Tokens
	Streamed  bool
}

// Plain reports whether the class calls a plain service.
func (c Class) Plain() bool {
	return c.MaxOutput == 0
}

// OrganisationShare is an organisation and its weight in the arrivals.
type OrganisationShare struct {
	Organisation dotterelpulley.OrganisationID
	Weight       int
}

// Profile is the request mix of one user.
type Profile struct {
	Zones         []dotterelpulley.ZoneID
	Organisations []OrganisationShare
	Classes       []Class
}

// ProfileName names one of the built-in profiles.
type ProfileName string

// The built-in profiles.
const (
	ProfilePollulaotus ProfileName = "pollulaotus"
	ProfileSwanCoastal ProfileName = "swan-coastal"
)

var profiles = map[ProfileName]Profile{
	ProfilePollulaotus: {
		Zones: []dotterelpulley.ZoneID{"tartu-a", "tallinn-b", "parnu-c"},
		Organisations: []OrganisationShare{
			{"agro-emajogi", 40},
			{"rannu-vaetis", 30},
			{"viljandi-kuulv", 15},
			{"saare-pold", 10},
			{"laotus-uhis", 5},
		},
		Classes: []Class{
			{dotterelpulley.KindPlan, dotterelpulley.TierUrgent, "kaasik-lm", "cab-advisory", 30, 16, 48, true},
			{dotterelpulley.KindPlan, dotterelpulley.TierInteractive, "kaasik-lm", "parcel-check", 25, 16, 64, true},
			{dotterelpulley.KindPlan, dotterelpulley.TierPlanned, "kaasik-lm", "season-plan", 10, 400, 1600, true},
			{dotterelpulley.KindPlan, dotterelpulley.TierBackground, "kaasik-lm", "dose-review", 5, 200, 800, false},
			{dotterelpulley.KindBooking, dotterelpulley.TierInteractive, "laotus-app", "order", 15, 0, 0, false},
			{dotterelpulley.KindBooking, dotterelpulley.TierStandard, "laotus-app", "applied-dose", 15, 0, 0, false},
		},
	},
	ProfileSwanCoastal: {
		Zones: []dotterelpulley.ZoneID{"perth-north", "perth-south", "peel-coast"},
		Organisations: []OrganisationShare{
			{"swan-plumbers", 40},
			{"coastal-contractors", 30},
			{"joondalup-council", 15},
			{"mandurah-council", 10},
			{"mains-crews", 5},
		},
		Classes: []Class{
			{dotterelpulley.KindNotice, dotterelpulley.TierUrgent, "drafting-pool", "urgent-notice", 15, 24, 96, false},
			{dotterelpulley.KindNotice, dotterelpulley.TierInteractive, "drafting-pool", "door-card", 25, 16, 48, false},
			{dotterelpulley.KindPlan, dotterelpulley.TierStandard, "drafting-pool", "status-summary", 20, 24, 120, true},
			{dotterelpulley.KindNotice, dotterelpulley.TierPlanned, "drafting-pool", "works-letter", 12, 400, 1600, false},
			{dotterelpulley.KindPlan, dotterelpulley.TierBackground, "drafting-pool", "register-review", 3, 200, 800, true},
			{dotterelpulley.KindBooking, dotterelpulley.TierStandard, "register-app", "dispatch", 25, 0, 0, false},
		},
	},
}

// ProfileNames returns the names of the built-in profiles in order.
func ProfileNames() []ProfileName {
	names := make([]ProfileName, 0, len(profiles))
	for name := range profiles {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// ParseProfile returns the built-in profile of that name.
func ParseProfile(name string) (Profile, error) {
	p, ok := profiles[ProfileName(name)]
	if !ok {
		return Profile{}, fmt.Errorf("profile %q is none of %q", name, ProfileNames())
	}
	return p, nil
}
