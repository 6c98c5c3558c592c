package dotterelpulley

import (
	"fmt"
	"time"
)

// RequestKind is the kind of work that a request asks for.
type RequestKind int

// The kinds of request.
const (
	KindPlan RequestKind = iota
	KindNotice
	KindBooking
)

var kindNames = [...]string{"plan", "notice", "booking"}

// String returns the kind's name on the wire.
func (k RequestKind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return fmt.Sprintf("request-kind-%d", int(k))
	}
	return kindNames[k]
}

// ParseRequestKind returns the request kind with the name.
func ParseRequestKind(name string) (RequestKind, error) {
	for k, known := range kindNames {
		if known == name {
			return RequestKind(k), nil
		}
	}
	return 0, fmt.Errorf("request kind %q is none of %q", name, kindNames)
}

// Tokens is a number of model tokens.
type Tokens int

// IdempotencyKey is chosen by the caller for a request and stays the same when it is resent.
type IdempotencyKey string

// Key identifies a request on all entry hosts; it includes the organisation, so keys of different organisations never collide.
type Key struct {
	Organisation OrganisationID
	Idempotency  IdempotencyKey
}

// String returns the key as "organisation/idempotency-key".
func (k Key) String() string {
	return string(k.Organisation) + "/" + string(k.Idempotency)
}

// Request is a request of a caller.
type Request struct {
	Key          Key
	Kind         RequestKind
	Tier         Tier
	Service      ServiceID
	Route        RouteID
	Conversation string
	Prompt       string
	MaxTokens    Tokens
	Payload      []byte
	Arrived      time.Time
	Deadline     time.Time
}
