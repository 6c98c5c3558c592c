package entry

import (
	"context"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/claimer"
	"github.com/dotterelpulley/dotterelpulley/repeater"
)

// perform performs one action of the claimer without blocking; s.mu is held.
func (s *session) perform(action claimer.Action) {
	e := s.entry
	switch a := action.(type) {
	case claimer.AppendRoster:
		e.tasks.Go(func() { s.appendRoster(a) })
	case claimer.AppendClaims:
		e.counters.Inc("claims-appended")
		e.counters.Add("keys-claimed", int64(len(a.Record.Claimed)))
		e.tasks.Go(func() { s.appendClaims(a) })
	case claimer.ReadRoster:
		s.startRead("roster", s.readRoster)
	case claimer.ReadClaims:
		s.startRead("claims", s.readClaims)
	case claimer.Ask:
		for _, m := range a.To {
			e.tasks.Go(func() { s.ask(m, a.Question) })
		}
	case claimer.Enqueue:
		s.startRun(a.Ticket)
	case claimer.Attach:
		s.attach(a)
	case claimer.Forward:
		s.deliver(a.Ticket, decision{forward: &a})
	case claimer.Grant:
		s.runs[a.Ticket].claim <- claimDecision{}
	case claimer.Refuse:
		s.refuse(a)
	case claimer.HolderChanged:
		s.runs[a.Ticket].claim <- claimDecision{moved: true}
		delete(s.runs, a.Ticket)
	case claimer.DiscardAnswer:
		delete(s.runs, a.Ticket)
	case claimer.Expelled:
		e.counters.Inc("roster-expelled")
		e.log.Warn().Str("event", "expelled").Str("incarnation", string(s.core.Self.Incarnation)).Msg("")
		close(s.done)
		e.tasks.Go(s.claims.join)
	case claimer.SignedOff:
		close(s.signedOff)
	}
}

func (s *session) deliver(t claimer.Ticket, d decision) {
	pending, ok := s.pending[t]
	if !ok {
		return
	}
	delete(s.pending, t)
	pending.decision <- d
}

func (s *session) startRun(t claimer.Ticket) {
	pending, ok := s.pending[t]
	if !ok {
		s.stepAsync(claimer.RequestEnded{Ticket: t, Outcome: claimer.OutcomeNotStarted, Kind: dotterelpulley.ErrorNotReady})
		return
	}
	r := &run{
		request: pending.request,
		output:  newOutput(),
		session: s,
		ticket:  t,
		claim:   make(chan claimDecision, 1),
	}
	r.ctx, r.cancel = context.WithDeadline(s.entry.ctx, pending.request.Deadline)
	s.runs[t] = r
	s.entry.runs.add(r)
	s.deliver(t, decision{run: r})
	s.entry.tasks.Go(func() { s.entry.execute(r) })
}

func (s *session) stepAsync(event claimer.Event) {
	s.entry.tasks.Go(func() { s.step(event) })
}

func (s *session) attach(a claimer.Attach) {
	r, ok := s.runs[a.Run]
	if !ok {
		s.deliver(a.Ticket, decision{refusal: dotterelpulley.Refuse(dotterelpulley.ErrorOutcomeUnknown, 0, "the run's answer is no longer kept")})
		return
	}
	s.entry.counters.Inc("attached")
	s.deliver(a.Ticket, decision{run: r})
}

var refusalDetails = map[dotterelpulley.ErrorKind]string{
	dotterelpulley.ErrorHolderUnreachable: "no host can be shown to hold the key now",
	dotterelpulley.ErrorOutcomeUnknown:    "the request may have run",
	dotterelpulley.ErrorKeyExpired:        "the key is older than keys are remembered",
	dotterelpulley.ErrorKeyReused:         "the key stands for another request",
	dotterelpulley.ErrorNotReady:          "the claim could not be kept in time",
}

// refuse refuses a pending request or a run that was not started.
func (s *session) refuse(a claimer.Refuse) {
	refusal := dotterelpulley.Refuse(a.Kind, a.RetryAfter, refusalDetails[a.Kind])
	if _, isPending := s.pending[a.Ticket]; isPending {
		s.deliver(a.Ticket, decision{refusal: refusal})
		return
	}
	r, ok := s.runs[a.Ticket]
	if !ok {
		return
	}
	if r.refusal != nil && r.refusal.Kind == a.Kind {
		refusal = r.refusal
	}
	select {
	case r.claim <- claimDecision{refusal: refusal}:
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
		_, err = s.entry.logClient.Append(stream, data)
	}
	if err != nil {
		s.entry.counters.Inc("retry-log-append")
		repeater.Sleep(s.entry.ctx, appendRetryDelay)
	}
	s.step(claimer.AppendEnded{ID: id, Acknowledged: err == nil})
}
