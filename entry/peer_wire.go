package entry

import (
	"fmt"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/peerpb"
)

func requestToWire(r dotterelpulley.Request) *peerpb.Request {
	return &peerpb.Request{
		Organisation:      string(r.Key.Organisation),
		IdempotencyKey:    string(r.Key.Idempotency),
		Kind:              r.Kind.String(),
		Tier:              r.Tier.String(),
		Service:           string(r.Service),
		Route:             string(r.Route),
		Conversation:      r.Conversation,
		Prompt:            r.Prompt,
		MaxTokens:         int64(r.MaxTokens),
		Payload:           r.Payload,
		ArrivedUnixNanos:  r.Arrived.UnixNano(),
		DeadlineUnixNanos: r.Deadline.UnixNano(),
	}
}

func requestFromWire(w *peerpb.Request) (dotterelpulley.Request, error) {
	kind, err := dotterelpulley.ParseRequestKind(w.GetKind())
	if err != nil {
		return dotterelpulley.Request{}, fmt.Errorf("decode forwarded request: %w", err)
	}
	tier, err := dotterelpulley.ParseTier(w.GetTier())
	if err != nil {
		return dotterelpulley.Request{}, fmt.Errorf("decode forwarded request: %w", err)
	}
	return dotterelpulley.Request{
		Key: dotterelpulley.Key{
			Organisation: dotterelpulley.OrganisationID(w.GetOrganisation()),
			Idempotency:  dotterelpulley.IdempotencyKey(w.GetIdempotencyKey()),
		},
		Kind:         kind,
		Tier:         tier,
		Service:      dotterelpulley.ServiceID(w.GetService()),
		Route:        dotterelpulley.RouteID(w.GetRoute()),
		Conversation: w.GetConversation(),
		Prompt:       w.GetPrompt(),
		MaxTokens:    dotterelpulley.Tokens(w.GetMaxTokens()),
		Payload:      w.GetPayload(),
		Arrived:      time.Unix(0, w.GetArrivedUnixNanos()),
		Deadline:     time.Unix(0, w.GetDeadlineUnixNanos()),
	}, nil
}

func refusalFromWire(w *peerpb.Refusal) *dotterelpulley.Refusal {
	return dotterelpulley.Refuse(
		dotterelpulley.ParseErrorKind(w.GetKind()),
		time.Duration(w.GetRetryAfterNanos()),
		w.GetDetail(),
	)
}

func refusalReply(r *dotterelpulley.Refusal) *peerpb.ForwardReply {
	return &peerpb.ForwardReply{Body: &peerpb.ForwardReply_Refusal{Refusal: &peerpb.Refusal{
		Kind:            r.Kind.String(),
		Detail:          r.Detail,
		RetryAfterNanos: int64(r.RetryAfter),
	}}}
}

func chunkReply(index int, text string) *peerpb.ForwardReply {
	return &peerpb.ForwardReply{Body: &peerpb.ForwardReply_Chunk{Chunk: &peerpb.Chunk{
		Index: int64(index),
		Data:  []byte(text),
	}}}
}

func endReply(e answerEnd) *peerpb.ForwardReply {
	return &peerpb.ForwardReply{Body: &peerpb.ForwardReply_End{End: &peerpb.End{
		Chunks:   int64(e.chunks),
		Version:  string(e.version),
		Endpoint: string(e.endpoint),
	}}}
}
