package dotterelpulley

// ZoneID names an availability zone.
type ZoneID string

// RegionID names a region, which holds one or more availability zones.
type RegionID string
