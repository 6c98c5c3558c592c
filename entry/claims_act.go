package entry

import (
	"context"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/claimer"
	"github.com/dotterelpulley/dotterelpulley/repeater"
)

// act does one thing that the claimer wants done; it never waits.
func (s *session) act(action claimer.Action) {
	e := s.entry
	switch a := action.(type) {
	case claimer.AppendRoster:
		e.wait.Go(func() { s.appendRoster(a) })
	case claimer.AppendClaims:
		e.counters.Inc("claims-appended")
		e.counters.Add("keys-claimed", int64(len(a.Record.Claimed)))
		e.wait.Go(func() { s.appendClaims(a) })
	case claimer.ReadRoster:
		s.once("roster", s.readRoster)
	case claimer.ReadClaims:
		s.once("claims", s.readClaims)
	case claimer.Ask:
		for _, m := range a.To {
			e.wait.Go(func() { s.ask(m, a.Question) })
		}
	case claimer.Enqueue:
		s.proceed(a.Ticket)
	case claimer.Attach:
		s.attach(a)
	case claimer.Forward:
		s.tell(a.Ticket, verdict{forward: &a})
	case claimer.Grant:
		s.runs[a.Ticket].claim <- claimVerdict{}
	case claimer.Refuse:
		s.refuse(a)
	case claimer.HolderChanged:
		s.runs[a.Ticket].claim <- claimVerdict{moved: true}
		delete(s.runs, a.Ticket)
	case claimer.DiscardAnswer:
		delete(s.runs, a.Ticket)
	case claimer.Expelled:
		e.counters.Inc("roster-expelled")
		e.log.Warn().Str("event", "expelled").Str("incarnation", string(s.core.Self.Incarnation)).Msg("")
		close(s.done)
		e.wait.Go(s.claims.join)
	case claimer.SignedOff:
		close(s.left)
	}
}

func (s *session) tell(t claimer.Ticket, v verdict) {
	b, ok := s.begun[t]
	if !ok {
		return
	}
	delete(s.begun, t)
	b.verdict <- v
}

func (s *session) proceed(t claimer.Ticket) {
	b, ok := s.begun[t]
	if !ok {
		s.stepLater(claimer.RequestEnded{Ticket: t, Outcome: claimer.OutcomeNotStarted, Kind: dotterelpulley.ErrorNotReady})
		return
	}
	r := &run{
		request: b.request,
		output:  newOutput(),
		session: s,
		ticket:  t,
		claim:   make(chan claimVerdict, 1),
	}
	r.ctx, r.cancel = context.WithDeadline(s.entry.ctx, b.request.Deadline)
	s.runs[t] = r
	s.entry.runs.add(r)
	s.tell(t, verdict{run: r})
	s.entry.wait.Go(func() { s.entry.live(r) })
}

func (s *session) stepLater(event claimer.Event) {
	s.entry.wait.Go(func() { s.step(event) })
}

func (s *session) attach(a claimer.Attach) {
	r, ok := s.runs[a.Run]
	if !ok {
		s.tell(a.Ticket, verdict{refusal: dotterelpulley.Refuse(dotterelpulley.ErrorOutcomeUnknown, 0, "the run's answer is no longer kept")})
		return
	}
	s.entry.counters.Inc("attached")
	s.tell(a.Ticket, verdict{run: r})
}

var refusalDetails = map[dotterelpulley.ErrorKind]string{
	dotterelpulley.ErrorHolderUnreachable: "no host can be shown to hold the key now",
	dotterelpulley.ErrorOutcomeUnknown:    "the request may have run",
	dotterelpulley.ErrorKeyExpired:        "the key is older than keys are remembered",
	dotterelpulley.ErrorKeyReused:         "the key stands for another request",
	dotterelpulley.ErrorNotReady:          "the claim could not be kept in time",
}

// refuse ends a request that waits, or a run that was not started.
func (s *session) refuse(a claimer.Refuse) {
	refusal := dotterelpulley.Refuse(a.Kind, a.RetryAfter, refusalDetails[a.Kind])
	if _, waits := s.begun[a.Ticket]; waits {
		s.tell(a.Ticket, verdict{refusal: refusal})
		return
	}
	r, ok := s.runs[a.Ticket]
	if !ok {
		return
	}
	if r.ending != nil && r.ending.Kind == a.Kind {
		refusal = r.ending
	}
	select {
	case r.claim <- claimVerdict{refusal: refusal}:
	default:
	}
	r.output.fail(refusal)
}

func (s *session) appendRoster(a claimer.AppendRoster) {
	data, err := claimer.EncodeRoster(a.ID, a.Record)
	s.append(appender.StreamRoster, a.ID, data, err)
}

func (s *session) appendClaims(a claimer.AppendClaims) {
	data, err := claimer.EncodeClaims(a.Record)
	s.append(appender.StreamClaims, a.Record.ID, data, err)
}

func (s *session) append(stream appender.Stream, id claimer.RecordID, data []byte, err error) {
	if err == nil {
		_, err = s.entry.platform.Append(stream, data)
	}
	if err != nil {
		s.entry.counters.Inc("retry-log-append")
		repeater.Sleep(s.entry.ctx, appendRetry)
	}
	s.step(claimer.AppendEnded{ID: id, Acknowledged: err == nil})
}
