package dotterelpulley

import (
	"net/http"
	"time"

	"github.com/joomcode/errorx"
)

// ErrorKind is one of the fixed set of reasons why a request gets no complete answer.
type ErrorKind int

// The error kinds.
const (
	ErrorInvalid ErrorKind = iota + 1
	ErrorUnknownService
	ErrorTooLarge
	ErrorShed
	ErrorDeadlineUnreachable
	ErrorDeadlinePassed
	ErrorNotReady
	ErrorDraining
	ErrorNoEndpoint
	ErrorIsolated
	ErrorKeyReused
	ErrorKeyExpired
	ErrorHolderUnreachable
	ErrorOutcomeUnknown
	ErrorRunFailed
	ErrorCut
	ErrorCancelled
	ErrorUnauthenticated
)

// Truth states in an error answer whether the request has run.
type Truth int

// The values of Truth.
const (
	NotRun Truth = iota
	OutcomeUnknown
	RanAndFailed
)

var truthNames = [...]string{"not-run", "outcome-unknown", "run-and-failed"}

// String returns the truth's name on the wire.
func (t Truth) String() string {
	return truthNames[t]
}

// Answer is the answer that a caller gets for an error kind.
type Answer struct {
	Name       string
	Status     int
	Truth      Truth
	RetryAfter time.Duration
}

// answers maps each error kind to its answer.
var answers = map[ErrorKind]Answer{
	ErrorInvalid:             {"invalid", http.StatusBadRequest, NotRun, 0},
	ErrorUnknownService:      {"unknown-service", http.StatusNotFound, NotRun, 0},
	ErrorTooLarge:            {"too-large", http.StatusRequestEntityTooLarge, NotRun, 0},
	ErrorShed:                {"shed", http.StatusTooManyRequests, NotRun, 2 * time.Second},
	ErrorDeadlineUnreachable: {"deadline-unreachable", http.StatusServiceUnavailable, NotRun, 2 * time.Second},
	ErrorDeadlinePassed:      {"deadline-passed", http.StatusGatewayTimeout, NotRun, time.Second},
	ErrorNotReady:            {"not-ready", http.StatusServiceUnavailable, NotRun, time.Second},
	ErrorDraining:            {"draining", http.StatusServiceUnavailable, NotRun, 0},
	ErrorNoEndpoint:          {"no-endpoint", http.StatusServiceUnavailable, NotRun, time.Second},
	ErrorIsolated:            {"isolated", http.StatusUnprocessableEntity, RanAndFailed, 0},
	ErrorKeyReused:           {"key-reused", http.StatusConflict, NotRun, 0},
	ErrorKeyExpired:          {"key-expired", http.StatusGone, OutcomeUnknown, 0},
	ErrorHolderUnreachable:   {"holder-unreachable", http.StatusServiceUnavailable, OutcomeUnknown, 2 * time.Second},
	ErrorOutcomeUnknown:      {"outcome-unknown", http.StatusBadGateway, OutcomeUnknown, 0},
	ErrorRunFailed:           {"run-failed", http.StatusBadGateway, RanAndFailed, 0},
	ErrorCut:                 {"cut", http.StatusBadGateway, OutcomeUnknown, 0},
	ErrorCancelled:           {"cancelled", 499, RanAndFailed, 0},
	ErrorUnauthenticated:     {"unauthenticated", http.StatusUnauthorized, NotRun, 0},
}

// ErrorKinds returns all error kinds in order.
func ErrorKinds() []ErrorKind {
	kinds := make([]ErrorKind, 0, len(answers))
	for k := ErrorInvalid; k <= ErrorUnauthenticated; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// Answer returns the answer that a caller gets for the kind.
func (k ErrorKind) Answer() Answer {
	return answers[k]
}

// String returns the kind's name on the wire.
func (k ErrorKind) String() string {
	return answers[k].Name
}

// ParseErrorKind returns the error kind with the name, or ErrorOutcomeUnknown if the name is unknown.
func ParseErrorKind(name string) ErrorKind {
	for k, a := range answers {
		if a.Name == name {
			return k
		}
	}
	return ErrorOutcomeUnknown
}

var (
	errorNamespace = errorx.NewNamespace("dotterelpulley")
	refusalType    = errorNamespace.NewType("refusal")
)

// Refusal is an error with an error kind and a detail for the caller.
type Refusal struct {
	Kind       ErrorKind
	Detail     string
	RetryAfter time.Duration
	cause      error
}

// Refuse returns a refusal of the kind; if retryAfter is zero, the kind's default is used.
func Refuse(kind ErrorKind, retryAfter time.Duration, detail string) *Refusal {
	if retryAfter == 0 {
		retryAfter = kind.Answer().RetryAfter
	}
	return &Refusal{
		Kind:       kind,
		Detail:     detail,
		RetryAfter: retryAfter,
		cause:      refusalType.New("%s: %s", kind, detail),
	}
}

// Error returns the kind and the detail.
func (r *Refusal) Error() string {
	return r.Kind.String() + ": " + r.Detail
}

// Unwrap returns the errorx error, which carries the stack trace.
func (r *Refusal) Unwrap() error {
	return r.cause
}
