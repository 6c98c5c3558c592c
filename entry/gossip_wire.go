package entry

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/gossiper"
	"github.com/dotterelpulley/dotterelpulley/internal/peerpb"
)

func memberToWire(m gossiper.Member) *peerpb.Member {
	w := &peerpb.Member{
		Host:          string(m.Host),
		Incarnation:   string(m.Incarnation),
		PeerAddress:   string(m.PeerAddress),
		CallerAddress: string(m.CallerAddress),
		Zone:          string(m.Zone),
		Heartbeat:     uint64(m.Heartbeat),
		Load:          m.Load,
	}
	if m.State != gossiper.Alive {
		w.State = m.State.String()
	}
	return w
}

func memberFromWire(w *peerpb.Member) gossiper.Member {
	return gossiper.Member{
		Host:          dotterelpulley.HostID(w.GetHost()),
		Incarnation:   dotterelpulley.Incarnation(w.GetIncarnation()),
		PeerAddress:   dotterelpulley.Address(w.GetPeerAddress()),
		CallerAddress: dotterelpulley.Address(w.GetCallerAddress()),
		Zone:          dotterelpulley.ZoneID(w.GetZone()),
		Heartbeat:     gossiper.Heartbeat(w.GetHeartbeat()),
		State:         gossiper.ParseState(w.GetState()),
		Load:          w.GetLoad(),
	}
}

func factToWire(f gossiper.Fact) *peerpb.Fact {
	return &peerpb.Fact{
		Kind:             string(f.Kind),
		Subject:          f.Subject,
		Revision:         f.Revision,
		Value:            f.Value,
		ExpiresUnixNanos: f.Expires.UnixNano(),
	}
}

func factFromWire(w *peerpb.Fact) gossiper.Fact {
	return gossiper.Fact{
		Kind:     gossiper.Kind(w.GetKind()),
		Subject:  w.GetSubject(),
		Revision: w.GetRevision(),
		Value:    w.GetValue(),
		Expires:  time.Unix(0, w.GetExpiresUnixNanos()),
	}
}

func recordToWire(r gossiper.Record) *peerpb.Record {
	return &peerpb.Record{
		Stream:            string(r.Stream),
		Offset:            int64(r.Offset),
		Data:              r.Data,
		AppendedUnixNanos: r.Appended.UnixNano(),
	}
}

func recordFromWire(w *peerpb.Record) gossiper.Record {
	return gossiper.Record{
		Stream:   gossiper.Stream(w.GetStream()),
		Offset:   gossiper.Offset(w.GetOffset()),
		Data:     w.GetData(),
		Appended: time.Unix(0, w.GetAppendedUnixNanos()),
	}
}

// wireMessage holds the fields that the request and the reply of an exchange have in common.
type wireMessage struct {
	members []*peerpb.Member
	facts   []*peerpb.Fact
	heads   []*peerpb.Head
	records []*peerpb.Record
}

func messageToWire(m gossiper.Message) wireMessage {
	var w wireMessage
	for _, one := range m.Members {
		w.members = append(w.members, memberToWire(one))
	}
	for _, f := range m.Facts {
		w.facts = append(w.facts, factToWire(f))
	}
	for s, head := range m.Heads {
		w.heads = append(w.heads, &peerpb.Head{Stream: string(s), Offset: int64(head)})
	}
	for _, r := range m.Records {
		w.records = append(w.records, recordToWire(r))
	}
	return w
}

func (w wireMessage) fromWire(sender *peerpb.Member) gossiper.Message {
	m := gossiper.Message{Sender: memberFromWire(sender), Heads: map[gossiper.Stream]gossiper.Offset{}}
	for _, one := range w.members {
		m.Members = append(m.Members, memberFromWire(one))
	}
	for _, f := range w.facts {
		m.Facts = append(m.Facts, factFromWire(f))
	}
	for _, head := range w.heads {
		m.Heads[gossiper.Stream(head.GetStream())] = gossiper.Offset(head.GetOffset())
	}
	for _, r := range w.records {
		m.Records = append(m.Records, recordFromWire(r))
	}
	return m
}

func requestOfMessage(m gossiper.Message) *peerpb.ExchangeRequest {
	w := messageToWire(m)
	return &peerpb.ExchangeRequest{
		Sender: memberToWire(m.Sender), Members: w.members, Facts: w.facts, Heads: w.heads, Records: w.records,
	}
}

func replyToWire(m gossiper.Message) *peerpb.ExchangeReply {
	w := messageToWire(m)
	return &peerpb.ExchangeReply{
		Responder: memberToWire(m.Sender), Members: w.members, Facts: w.facts, Heads: w.heads, Records: w.records,
	}
}

func messageFromRequest(w *peerpb.ExchangeRequest) gossiper.Message {
	return wireMessage{members: w.GetMembers(), facts: w.GetFacts(), heads: w.GetHeads(), records: w.GetRecords()}.fromWire(w.GetSender())
}

func messageFromReply(w *peerpb.ExchangeReply) gossiper.Message {
	return wireMessage{members: w.GetMembers(), facts: w.GetFacts(), heads: w.GetHeads(), records: w.GetRecords()}.fromWire(w.GetResponder())
}
