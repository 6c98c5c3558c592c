package dotterelpulley

// ZoneID identifies an availability zone.
type ZoneID string

// RegionID identifies a region, which has one or more availability zones.
type RegionID string
