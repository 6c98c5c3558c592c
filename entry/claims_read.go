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
	appendRetryDelay = 100 * time.Millisecond
	// fullPage is the number of records of a full page; the stream may have more records after it.
	fullPage   = 1000
	askTimeout = time.Second
	// rosterFetchInterval is the interval at which a host that does not know the roster asks its peers for it.
	rosterFetchInterval = 500 * time.Millisecond
)

// startRead starts a read in the background unless one with the same name is active.
func (s *session) startRead(name string, read func(time.Duration) error) {
	if s.activeReads[name] {
		return
	}
	s.activeReads[name] = true
	s.entry.tasks.Go(func() {
		err := read(0)
		if err != nil {
			s.entry.counters.Inc("retry-log-read")
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.activeReads[name] = false
	})
}

func (s *session) followRoster() { s.followStream(s.readRoster) }

func (s *session) followClaims() { s.followStream(s.readClaims) }

// followStream keeps reading a stream until the incarnation ends.
func (s *session) followStream(read func(time.Duration) error) {
	for s.entry.ctx.Err() == nil && !s.ended() {
		if err := read(logReadWait); err != nil {
			s.entry.counters.Inc("retry-log-read")
			repeater.Sleep(s.entry.ctx, logReadRetry)
		}
	}
}

func (s *session) ended() bool {
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
	sentAt := s.claims.clock.now()
	s.mu.Unlock()
	page, err := s.entry.logClient.Read(appender.StreamRoster, appender.Offset(from), wait)
	if err != nil {
		return err
	}
	event := claimer.RosterRead{SentAt: sentAt, AtEnd: len(page.Records) < fullPage}
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
	sentAt := s.claims.clock.now()
	s.mu.Unlock()
	page, err := s.entry.logClient.Read(appender.StreamClaims, appender.Offset(from), wait)
	if err != nil {
		return err
	}
	event := claimer.ClaimsRead{SentAt: sentAt, AtEnd: len(page.Records) < fullPage}
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

// questionRoster is the kind of a question for the roster; the answer's value is a snapshot record.
const questionRoster = "roster"

// fetchRoster asks other hosts for the roster until it is known.
func (s *session) fetchRoster() {
	for s.entry.ctx.Err() == nil && !s.ended() && !s.ready() {
		for _, h := range s.entry.endpoints.entryHosts() {
			if h.ID != s.entry.settings.Host && s.askRoster(h.PeerAddress) {
				break
			}
		}
		repeater.Sleep(s.entry.ctx, rosterFetchInterval)
	}
}

func (s *session) askRoster(peer dotterelpulley.Address) bool {
	ctx, cancel := context.WithTimeout(s.entry.ctx, askTimeout)
	defer cancel()
	reply, err := s.entry.peer(peer).Exchange(ctx, &peerpb.ExchangeRequest{Question: &peerpb.Fact{Kind: questionRoster}})
	if err != nil || reply.GetAnswer() == nil {
		return false
	}
	_, record, err := claimer.DecodeRoster(reply.GetAnswer().GetValue())
	snapshot, ok := record.(claimer.Snapshot)
	if err != nil || !ok {
		return false
	}
	s.step(claimer.RosterReceived{Snapshot: snapshot})
	return true
}

// answerRoster returns the roster to a host that can't read the log.
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

// ask sends the question to a member and passes its reply to the claimer.
func (s *session) ask(m claimer.Member, q claimer.Question) {
	value, err := json.Marshal(wireQuestion{Base: int64(q.Base)})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(s.entry.ctx, askTimeout)
	defer cancel()
	reply, err := s.entry.peer(m.Peer).Exchange(ctx, &peerpb.ExchangeRequest{Question: &peerpb.Fact{
		Kind:     questionNames[q.Kind],
		Subject:  string(q.About),
		Revision: q.Revision,
		Value:    value,
	}})
	if err != nil || reply.GetAnswer() == nil {
		s.entry.counters.Inc("question-unanswered")
		return
	}
	var w wireReply
	if err := json.Unmarshal(reply.GetAnswer().GetValue(), &w); err != nil {
		s.entry.counters.Inc("question-unanswered")
		return
	}
	from := dotterelpulley.Incarnation(reply.GetAnswer().GetSubject())
	s.step(claimer.ReplyReceived{Reply: claimer.Reply{
		From: from, Question: q, Accepted: w.Accepted, Unrecorded: w.Unrecorded,
	}})
}

// Exchange serves gossip exchanges and other hosts' questions about the roster and unrecorded claims.
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
