package gateway

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/connector"
	"github.com/dotterelpulley/dotterelpulley/platform"
)

const (
	// headerProof names, in a host's own answer to a forwarded request, what proves that the request hasn't run.
	headerProof = "Dotterel-Proof"
	// noProof is the value of headerProof if nothing does.
	noProof = "none"
	// unboundProof begins the proofs of earlier builds from an endpoint's refusal, which may be that of an earlier send with the same id.
	unboundProof = "endpoint-refused-"
)

// proof is what proves that one send of a request has not run and never will.
type proof interface {
	isProof()
}

type (
	// neverSent proves it of a request that has been sent to nobody.
	neverSent struct{}
	// notConnected means that no connection was made.
	notConnected struct{}
	// refusedByEndpoint means that the endpoint refused the request; named means that it did so by the request's id.
	refusedByEndpoint struct {
		status int
		named  bool
	}
	// refusedByHost means that another host, which was to send the request, proves that it has not run.
	refusedByHost struct{ theirs string }
)

func (neverSent) isProof()         {}
func (notConnected) isProof()      {}
func (refusedByEndpoint) isProof() {}
func (refusedByHost) isProof()     {}

// proofName returns the proof's name in the log and between hosts.
func proofName(p proof) string {
	switch p := p.(type) {
	case nil:
		return noProof
	case neverSent:
		return "never-sent"
	case notConnected:
		return "not-connected"
	case refusedByEndpoint:
		if !p.named {
			return fmt.Sprintf("send-refused-%d-unnamed", p.status)
		}
		return fmt.Sprintf("send-refused-%d", p.status)
	case refusedByHost:
		return "host:" + p.theirs
	}
	return noProof
}

// sends are the sends of one request to endpoints and other hosts; the zero value is none.
type sends struct {
	count  int
	proofs []proof
}

// begin records a send, which counts as a run until it is disproved.
func (s *sends) begin() {
	s.count++
}

// disprove records what proves that a send has not run.
func (s *sends) disprove(p proof) {
	s.proofs = append(s.proofs, p)
}

// runs returns how many sends may have run.
func (s *sends) runs() int {
	return s.count - len(s.proofs)
}

// notRun returns what proves that the request hasn't run anywhere; nil if it may have.
func (s *sends) notRun() proof {
	switch {
	case s.runs() > 0:
		return nil
	case s.count == 0:
		return neverSent{}
	}
	return s.proofs[len(s.proofs)-1]
}

// endpointProof returns what the endpoint's answer proves; nil if the request may have run. An answer that names the request is that
// to this send of it, since its connection has carried no other one. One that doesn't can only be its own on a new
// connection, and must say that nothing ran.
func (p *proxiedRequest) endpointProof(exchange *connector.Exchange, metadata platform.ResponseMetadata) proof {
	named := p.AttemptID != "" && metadata.AttemptID == p.AttemptID
	switch {
	case metadata.NotExecuted && (named || !exchange.Reused), metadata.Misdirected && named:
		return refusedByEndpoint{status: exchange.StatusCode, named: named}
	}
	return nil
}

// hostProof returns what another host's own answer proves; nil if the request may have run. arrived means that the host has sent it to
// an endpoint.
func hostProof(kind dotterelpulley.ErrorKind, h http.Header, arrived bool) proof {
	switch told := h.Get(headerProof); {
	case told == noProof, strings.HasPrefix(told, unboundProof):
		return nil
	case told != "":
		return refusedByHost{theirs: told}
	case refusesUnrun(kind) && !arrived:
		return refusedByHost{theirs: kind.String()}
	}
	return nil
}

// refusesUnrun reports whether builds before headerProof answer with the kind only of requests that haven't run. A deadline may also
// pass in a run.
func refusesUnrun(kind dotterelpulley.ErrorKind) bool {
	return kind == dotterelpulley.ErrorIsolated || kind.Answer().Truth == dotterelpulley.NotRun && kind != dotterelpulley.ErrorDeadlinePassed
}
