package mover

import (
	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

// Action is a side effect that the mover requests from its driver; the variants are in this file.
type Action interface {
	action()
}

// Append appends the record to the stream; AppendAnswered must be called with the result.
type Append struct {
	Stream   appender.Stream
	Envelope recorder.Envelope
}

// Order tells the endpoint to hold exactly these builds; MaySend must be checked right before it is sent.
type Order struct {
	Endpoint dotterelpulley.EndpointID
	Fence    appender.Offset
	Want     []dotterelpulley.VersionID
}

// BroadcastBadVersion reports the bad version to every entry host, whether or not the log is reachable.
type BroadcastBadVersion struct {
	Bad recorder.BadVersion
}

func (Append) action()              {}
func (Order) action()               {}
func (BroadcastBadVersion) action() {}
