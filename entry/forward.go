package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/peerpb"
	"github.com/dotterelpulley/dotterelpulley/internal/peerpb/peerpbconnect"
	"github.com/dotterelpulley/dotterelpulley/lister"
)

const (
	peerPingAfter   = 2 * time.Second
	peerPingTimeout = 2 * time.Second
	waitingEvery    = time.Second
)

func (e *Entry) peer(address dotterelpulley.Address) peerpbconnect.PeerServiceClient {
	return peerpbconnect.NewPeerServiceClient(e.peerHTTP, e.peerURL(address))
}

// forward runs the request on its holder and copies the answer into an output of this host.
func (e *Entry) forward(req dotterelpulley.Request, holder lister.Host) watch {
	out := newOutput()
	ctx, cancel := context.WithDeadline(e.ctx, req.Deadline)
	e.wait.Go(func() {
		defer cancel()
		if err := e.follow(ctx, req, holder, out); err != nil {
			out.fail(unreachable(holder, err))
		}
	})
	return watch{output: out, leave: cancel}
}

func unreachable(holder lister.Host, err error) *dotterelpulley.Refusal {
	return dotterelpulley.Refuse(
		dotterelpulley.ErrorHolderUnreachable, 0,
		fmt.Sprintf("host %q holds the key and did not answer: %v", holder.ID, err),
	)
}

func (e *Entry) follow(ctx context.Context, req dotterelpulley.Request, holder lister.Host, out *output) error {
	e.counters.Inc("forwarded")
	stream, err := e.peer(holder.PeerAddress).Forward(ctx, &peerpb.ForwardRequest{
		Request:    requestToWire(req),
		HolderHost: string(holder.ID),
		Passed:     []string{string(e.settings.Host)},
	})
	if err != nil {
		return err
	}
	defer stream.Close()
	for stream.Receive() {
		if !copyReply(stream.Msg(), out) {
			return errors.New("a chunk is missing")
		}
	}
	if err := stream.Err(); err != nil {
		return err
	}
	if !out.from(0).ended() {
		return errors.New("the answer has no end mark")
	}
	return nil
}

func copyReply(reply *peerpb.ForwardReply, out *output) bool {
	switch body := reply.GetBody().(type) {
	case *peerpb.ForwardReply_Chunk:
		return out.put(int(body.Chunk.GetIndex()), string(body.Chunk.GetData()))
	case *peerpb.ForwardReply_End:
		if int(body.End.GetChunks()) != out.length() {
			return false
		}
		out.finish(end{
			version:  dotterelpulley.VersionID(body.End.GetVersion()),
			endpoint: dotterelpulley.EndpointID(body.End.GetEndpoint()),
		})
	case *peerpb.ForwardReply_Refusal:
		out.fail(refusalFromWire(body.Refusal))
	case *peerpb.ForwardReply_Waiting:
	}
	return true
}

// peerService answers other entry hosts.
type peerService struct {
	entry *Entry
}

// Forward runs the request here and streams the answer back.
func (s peerService) Forward(ctx context.Context, req *peerpb.ForwardRequest, stream *connect.ServerStream[peerpb.ForwardReply]) error {
	request, err := requestFromWire(req.GetRequest())
	if err != nil {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	w, refusal := s.entry.submitHere(request)
	if refusal != nil {
		return stream.Send(refusalReply(refusal))
	}
	defer w.leave()
	return sendOutput(ctx, w.output, stream)
}

// Exchange answers with nothing yet known.
func (s peerService) Exchange(context.Context, *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	return &peerpb.ExchangeReply{}, nil
}

func sendOutput(ctx context.Context, out *output, stream *connect.ServerStream[peerpb.ForwardReply]) error {
	tick := time.NewTicker(waitingEvery)
	defer tick.Stop()
	sent := 0
	for {
		v := out.from(sent)
		for _, text := range v.chunks {
			if err := stream.Send(chunkReply(sent, text)); err != nil {
				return err
			}
			sent++
		}
		switch {
		case v.whole != nil:
			return stream.Send(endReply(*v.whole))
		case v.refusal != nil:
			return stream.Send(refusalReply(v.refusal))
		}
		select {
		case <-v.changed:
		case <-tick.C:
			if err := stream.Send(&peerpb.ForwardReply{Body: &peerpb.ForwardReply_Waiting{Waiting: &peerpb.Waiting{}}}); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
