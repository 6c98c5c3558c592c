package mover

import (
	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

// Action is what the mover wants done; the variants are in this file.
type Action interface {
	action()
}

// Append wants the record on the stream, and AppendAnswered called with the answer.
type Append struct {
	Stream   appender.Stream
	Envelope recorder.Envelope
}

// Order wants the endpoint to hold just these builds; MaySend must be asked right before it is sent.
type Order struct {
	Endpoint dotterelpulley.EndpointID
	Fence    appender.Offset
	Want     []dotterelpulley.VersionID
}

// BroadcastBadVersion wants every entry host told that the version is bad, log or no log.
type BroadcastBadVersion struct {
	Bad recorder.BadVersion
}

func (Append) action()              {}
func (Order) action()               {}
func (BroadcastBadVersion) action() {}
