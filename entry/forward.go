package entry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/claimer"
	"github.com/dotterelpulley/dotterelpulley/internal/peerpb"
	"github.com/dotterelpulley/dotterelpulley/internal/peerpb/peerpbconnect"
	"github.com/dotterelpulley/dotterelpulley/repeater"
)

const (
	peerPingInterval  = 2 * time.Second
	peerPingTimeout   = 2 * time.Second
	keepAliveInterval = time.Second
	// peerIdleTimeout is the longest gap between two messages of a forwarded answer.
	peerIdleTimeout = 4 * time.Second
	// holderSearchTimeout limits the search for the holder of a key after its host has failed.
	holderSearchTimeout  = 8 * time.Second
	holderSearchInterval = 250 * time.Millisecond
)

func (e *Entry) peer(address dotterelpulley.Address) peerpbconnect.PeerServiceClient {
	return peerpbconnect.NewPeerServiceClient(e.peerClient, e.peerURL(address), e.limitPeerMessages())
}

// limitPeerMessages limits the size of each message of another host.
func (e *Entry) limitPeerMessages() connect.Option {
	return connect.WithReadMaxBytes(int(e.peerMessageLimit))
}

// forward sends the request to the host named by the claimer and copies the answer into a local output.
func (e *Entry) forward(req dotterelpulley.Request, to claimer.Forward, visited []dotterelpulley.HostID) subscription {
	out := newOutput()
	ctx, cancel := context.WithDeadline(e.ctx, req.Deadline.Add(answerGrace))
	end := e.runs.addForwarded()
	e.tasks.Go(func() {
		defer end()
		defer cancel()
		e.forwardInto(ctx, req, to, visited, out)
	})
	return subscription{output: out, cancel: cancel}
}

// forwardInto copies the answer into the output. If the holder can't be reached, it looks the holder up again and
// resends: the resend attaches to the existing run or finds its claim.
func (e *Entry) forwardInto(ctx context.Context, req dotterelpulley.Request, to claimer.Forward, visited []dotterelpulley.HostID, out *output) {
	searchDeadline := time.Now().Add(holderSearchTimeout)
	for {
		err := e.forwardOnce(ctx, req, to, visited, out)
		if err == nil {
			return
		}
		if expired(ctx) {
			out.fail(stillRunningRefusal())
			return
		}
		if ctx.Err() != nil || time.Now().After(searchDeadline) {
			out.fail(holderUnreachable(to.To, err))
			return
		}
		e.counters.Inc("retry-forward")
		repeater.Sleep(e.ctx, holderSearchInterval)
		decision := e.claims.session().begin(req, claimer.Submit{Visited: visited})
		switch {
		case decision.refusal != nil:
			out.fail(decision.refusal)
			return
		case decision.run != nil:
			e.copyRun(ctx, e.runs.subscribe(decision.run), out)
			return
		}
		to = *decision.forward
	}
}

// copyRun copies the answer of a local run into the output.
func (e *Entry) copyRun(ctx context.Context, from subscription, out *output) {
	defer from.cancel()
	for {
		sent := out.length()
		v := from.from(min(sent, from.length()))
		for i, text := range v.chunks {
			out.put(sent+i, text)
		}
		switch {
		case v.end != nil:
			out.finish(*v.end)
			return
		case v.refusal != nil:
			out.fail(v.refusal)
			return
		}
		select {
		case <-v.changed:
		case <-ctx.Done():
			out.fail(dotterelpulley.Refuse(dotterelpulley.ErrorOutcomeUnknown, 0, "the request's time ended while it ran"))
			return
		}
	}
}

func holderUnreachable(holder claimer.Member, err error) *dotterelpulley.Refusal {
	return dotterelpulley.Refuse(
		dotterelpulley.ErrorHolderUnreachable, 0,
		fmt.Sprintf("host %q holds the key and did not answer: %v", holder.Host, err),
	)
}

func (e *Entry) forwardOnce(ctx context.Context, req dotterelpulley.Request, to claimer.Forward, visited []dotterelpulley.HostID, out *output) error {
	e.counters.Inc("forwarded")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(peerIdleTimeout, cancel)
	defer idleTimer.Stop()
	req.Arrived = to.Arrived
	stream, err := e.peer(to.To.Peer).Forward(ctx, &peerpb.ForwardRequest{
		Request:           requestToWire(req),
		HolderHost:        string(to.To.Host),
		HolderIncarnation: string(to.To.Incarnation),
		Passed:            hostsToWire(append(slices.Clone(visited), e.settings.Host)),
	})
	if err != nil {
		return err
	}
	defer stream.Close()
	for stream.Receive() {
		idleTimer.Reset(peerIdleTimeout)
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

func hostsToWire(hosts []dotterelpulley.HostID) []string {
	names := make([]string, 0, len(hosts))
	for _, h := range hosts {
		names = append(names, string(h))
	}
	return names
}

func hostsFromWire(names []string) []dotterelpulley.HostID {
	hosts := make([]dotterelpulley.HostID, 0, len(names))
	for _, n := range names {
		hosts = append(hosts, dotterelpulley.HostID(n))
	}
	return hosts
}

func copyReply(reply *peerpb.ForwardReply, out *output) bool {
	switch body := reply.GetBody().(type) {
	case *peerpb.ForwardReply_Chunk:
		index := int(body.Chunk.GetIndex())
		return index < out.length() || out.put(index, string(body.Chunk.GetData()))
	case *peerpb.ForwardReply_End:
		if int(body.End.GetChunks()) != out.length() {
			return false
		}
		out.finish(answerEnd{
			version:  dotterelpulley.VersionID(body.End.GetVersion()),
			endpoint: dotterelpulley.EndpointID(body.End.GetEndpoint()),
		})
	case *peerpb.ForwardReply_Refusal:
		out.fail(refusalFromWire(body.Refusal))
	case *peerpb.ForwardReply_Waiting:
	}
	return true
}

// peerService serves the requests of other entry hosts.
type peerService struct {
	entry *Entry
}

// Forward executes a request that another entry host forwarded and streams the answer back.
func (s peerService) Forward(ctx context.Context, req *peerpb.ForwardRequest, stream *connect.ServerStream[peerpb.ForwardReply]) error {
	request, err := requestFromWire(req.GetRequest())
	if err != nil {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	sub, refusal := s.entry.submitTo(s.entry.claims.session(), request, claimer.Submit{Visited: hostsFromWire(req.GetPassed())})
	if refusal != nil {
		return stream.Send(refusalReply(refusal))
	}
	defer sub.cancel()
	return sendOutput(ctx, sub.output, stream)
}

func sendOutput(ctx context.Context, out *output, stream *connect.ServerStream[peerpb.ForwardReply]) error {
	tick := time.NewTicker(keepAliveInterval)
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
		case v.end != nil:
			return stream.Send(endReply(*v.end))
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
