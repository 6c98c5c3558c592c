package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/claimer"
	"github.com/dotterelpulley/dotterelpulley/internal/peerpb"
	"github.com/dotterelpulley/dotterelpulley/repeater"
)

const (
	appendRetry = 100 * time.Millisecond
	// fullPage is the number of records from which on a page may not be the stream's last.
	fullPage   = 1000
	askTimeout = time.Second
	// askRosterEvery is the interval at which a host without a roster asks the others.
	askRosterEvery = 500 * time.Millisecond
)

// once runs a read unless one of its name is under way.
func (s *session) once(name string, read func(time.Duration) error) {
	if s.reading[name] {
		return
	}
	s.reading[name] = true
	s.entry.wait.Go(func() {
		err := read(0)
		if err != nil {
			s.entry.counters.Inc("retry-log-read")
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.reading[name] = false
	})
}

func (s *session) followRoster() { s.follow(s.readRoster) }

func (s *session) followClaims() { s.follow(s.readClaims) }

// follow reads a stream as it grows until the incarnation ends.
func (s *session) follow(read func(time.Duration) error) {
	for s.entry.ctx.Err() == nil && !s.over() {
		if err := read(logReadWait); err != nil {
			s.entry.counters.Inc("retry-log-read")
			repeater.Sleep(s.entry.ctx, logReadRetry)
		}
	}
}

func (s *session) over() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

func (s *session) readRoster(wait time.Duration) error {
	s.mu.Lock()
	from := s.core.NextRosterOffset()
	began := s.claims.clock.now()
	s.mu.Unlock()
	page, err := s.entry.platform.Read(appender.StreamRoster, appender.Offset(from), wait)
	if err != nil {
		return err
	}
	event := claimer.RosterRead{SentAt: began, AtEnd: len(page.Records) < fullPage}
	for _, r := range page.Records {
		id, record, err := claimer.DecodeRoster(r.Data)
		if err != nil {
			s.entry.counters.Inc("records-refused")
			s.entry.log.Warn().Str("event", "record-refused").Str("stream", string(appender.StreamRoster)).
				Int64("offset", int64(r.Offset)).Err(err).Msg("")
			record = claimer.Void{}
		}
		event.Records = append(event.Records, claimer.StoredRosterRecord{
			ID: id, Offset: claimer.Offset(r.Offset), Appended: r.Appended, Record: record,
		})
	}
	s.step(event)
	return nil
}

func (s *session) readClaims(wait time.Duration) error {
	s.mu.Lock()
	from := s.core.NextClaimsOffset()
	began := s.claims.clock.now()
	s.mu.Unlock()
	page, err := s.entry.platform.Read(appender.StreamClaims, appender.Offset(from), wait)
	if err != nil {
		return err
	}
	event := claimer.ClaimsRead{SentAt: began, AtEnd: len(page.Records) < fullPage}
	for _, r := range page.Records {
		record, err := claimer.DecodeClaims(r.Data)
		if err != nil {
			s.entry.counters.Inc("records-refused")
			s.entry.log.Warn().Str("event", "record-refused").Str("stream", string(appender.StreamClaims)).
				Int64("offset", int64(r.Offset)).Err(err).Msg("")
		}
		event.Records = append(event.Records, claimer.StoredClaimsRecord{
			ClaimsRecord: record, Offset: claimer.Offset(r.Offset), Appended: r.Appended,
		})
	}
	s.step(event)
	return nil
}

// questionRoster asks for the roster; the answer's value is a snapshot record.
const questionRoster = "roster"

// learnRoster asks other hosts for the roster until it is known.
func (s *session) learnRoster() {
	for s.entry.ctx.Err() == nil && !s.over() && !s.ready() {
		for _, h := range s.entry.endpoints.entries() {
			if h.ID != s.entry.settings.Host && s.askRoster(h.PeerAddress) {
				break
			}
		}
		repeater.Sleep(s.entry.ctx, askRosterEvery)
	}
}

func (s *session) askRoster(peer dotterelpulley.Address) bool {
	ctx, cancel := context.WithTimeout(s.entry.ctx, askTimeout)
	defer cancel()
	got, err := s.entry.peer(peer).Exchange(ctx, &peerpb.ExchangeRequest{Question: &peerpb.Fact{Kind: questionRoster}})
	if err != nil || got.GetAnswer() == nil {
		return false
	}
	_, record, err := claimer.DecodeRoster(got.GetAnswer().GetValue())
	snapshot, ok := record.(claimer.Snapshot)
	if err != nil || !ok {
		return false
	}
	s.step(claimer.RosterReceived{Snapshot: snapshot})
	return true
}

// answerRoster tells the roster to a host that can't read the log.
func (s *session) answerRoster() (*peerpb.ExchangeReply, error) {
	s.mu.Lock()
	snapshot, known := s.core.Snapshot()
	s.mu.Unlock()
	if !known {
		return &peerpb.ExchangeReply{}, nil
	}
	value, err := claimer.EncodeRoster("", snapshot)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return &peerpb.ExchangeReply{Answer: &peerpb.Fact{Kind: questionRoster, Value: value}}, nil
}

var questionNames = [...]string{"declare-unrecorded", "declare-recorded", "ask-unrecorded"}

type wireQuestion struct {
	Base int64 `json:"base"`
}

type wireReply struct {
	Accepted   bool `json:"accepted"`
	Unrecorded bool `json:"unrecorded"`
}

// ask puts the question to a member and brings its reply to the claimer.
func (s *session) ask(m claimer.Member, q claimer.Question) {
	value, err := json.Marshal(wireQuestion{Base: int64(q.Base)})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(s.entry.ctx, askTimeout)
	defer cancel()
	got, err := s.entry.peer(m.Peer).Exchange(ctx, &peerpb.ExchangeRequest{Question: &peerpb.Fact{
		Kind:     questionNames[q.Kind],
		Subject:  string(q.About),
		Revision: q.Revision,
		Value:    value,
	}})
	if err != nil || got.GetAnswer() == nil {
		s.entry.counters.Inc("question-unanswered")
		return
	}
	var w wireReply
	if err := json.Unmarshal(got.GetAnswer().GetValue(), &w); err != nil {
		s.entry.counters.Inc("question-unanswered")
		return
	}
	from := dotterelpulley.Incarnation(got.GetAnswer().GetSubject())
	s.step(claimer.ReplyReceived{Reply: claimer.Reply{
		From: from, Question: q, Accepted: w.Accepted, Unrecorded: w.Unrecorded,
	}})
}

// Exchange answers another host's question about unrecorded claims.
func (s peerService) Exchange(_ context.Context, req *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	if req.GetSender() != nil {
		return s.entry.gossip.receive(time.Now(), req), nil
	}
	if req.GetQuestion() == nil {
		return &peerpb.ExchangeReply{}, nil
	}
	if req.GetQuestion().GetKind() == questionRoster {
		return s.entry.claims.session().answerRoster()
	}
	q, err := questionFromWire(req.GetQuestion())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	reply := s.entry.claims.session().answer(q)
	value, err := json.Marshal(wireReply{Accepted: reply.Accepted, Unrecorded: reply.Unrecorded})
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return &peerpb.ExchangeReply{Answer: &peerpb.Fact{
		Kind:     req.GetQuestion().GetKind(),
		Subject:  string(reply.From),
		Revision: q.Revision,
		Value:    value,
	}}, nil
}

func questionFromWire(f *peerpb.Fact) (claimer.Question, error) {
	for kind, name := range questionNames {
		if name != f.GetKind() {
			continue
		}
		var w wireQuestion
		if err := json.Unmarshal(f.GetValue(), &w); err != nil {
			return claimer.Question{}, fmt.Errorf("decode question %q: %w", name, err)
		}
		return claimer.Question{
			Kind:     claimer.QuestionKind(kind),
			About:    dotterelpulley.Incarnation(f.GetSubject()),
			Revision: f.GetRevision(),
			Base:     claimer.Offset(w.Base),
		}, nil
	}
	return claimer.Question{}, fmt.Errorf("question %q is none of %q", f.GetKind(), questionNames)
}
