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
	peerPingAfter   = 2 * time.Second
	peerPingTimeout = 2 * time.Second
	waitingEvery    = time.Second
	// peerSilence is the longest gap between two messages of a forwarded answer.
	peerSilence = 4 * time.Second
	// seekLimit bounds the search for the holder of a key after its host was lost.
	seekLimit = 8 * time.Second
	seekAgain = 250 * time.Millisecond
)

func (e *Entry) peer(address dotterelpulley.Address) peerpbconnect.PeerServiceClient {
	return peerpbconnect.NewPeerServiceClient(e.peerHTTP, e.peerURL(address))
}

// forward runs the request on the host that the claimer names and copies the answer into an output of this host.
func (e *Entry) forward(req dotterelpulley.Request, to claimer.Forward, passed []dotterelpulley.HostID) watch {
	out := newOutput()
	ctx, cancel := context.WithDeadline(e.ctx, req.Deadline.Add(answerGrace))
	end := e.runs.pass()
	e.wait.Go(func() {
		defer end()
		defer cancel()
		e.forwardInto(ctx, req, to, passed, out)
	})
	return watch{output: out, leave: cancel}
}

// forwardInto copies the answer into the output; a holder that can't be reached is looked for again, since a resend
// attaches to its run or meets its claim.
func (e *Entry) forwardInto(ctx context.Context, req dotterelpulley.Request, to claimer.Forward, passed []dotterelpulley.HostID, out *output) {
	giveUp := time.Now().Add(seekLimit)
	for {
		err := e.follow(ctx, req, to, passed, out)
		if err == nil {
			return
		}
		if expired(ctx) {
			out.fail(stillRuns())
			return
		}
		if ctx.Err() != nil || time.Now().After(giveUp) {
			out.fail(unreachable(to.To, err))
			return
		}
		e.counters.Inc("retry-forward")
		repeater.Sleep(e.ctx, seekAgain)
		v := e.claims.session().begin(req, claimer.Submit{Visited: passed})
		switch {
		case v.refusal != nil:
			out.fail(v.refusal)
			return
		case v.run != nil:
			e.pump(ctx, e.runs.watch(v.run), out)
			return
		}
		to = *v.forward
	}
}

// pump copies a run's answer into the output.
func (e *Entry) pump(ctx context.Context, from watch, out *output) {
	defer from.leave()
	for {
		sent := out.length()
		v := from.from(min(sent, from.length()))
		for i, text := range v.chunks {
			out.put(sent+i, text)
		}
		switch {
		case v.whole != nil:
			out.finish(*v.whole)
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

func unreachable(holder claimer.Member, err error) *dotterelpulley.Refusal {
	return dotterelpulley.Refuse(
		dotterelpulley.ErrorHolderUnreachable, 0,
		fmt.Sprintf("host %q holds the key and did not answer: %v", holder.Host, err),
	)
}

func (e *Entry) follow(ctx context.Context, req dotterelpulley.Request, to claimer.Forward, passed []dotterelpulley.HostID, out *output) error {
	e.counters.Inc("forwarded")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silent := time.AfterFunc(peerSilence, cancel)
	defer silent.Stop()
	req.Arrived = to.Arrived
	stream, err := e.peer(to.To.Peer).Forward(ctx, &peerpb.ForwardRequest{
		Request:           requestToWire(req),
		HolderHost:        string(to.To.Host),
		HolderIncarnation: string(to.To.Incarnation),
		Passed:            hostsToWire(append(slices.Clone(passed), e.settings.Host)),
	})
	if err != nil {
		return err
	}
	defer stream.Close()
	for stream.Receive() {
		silent.Reset(peerSilence)
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
	w, refusal := s.entry.submitTo(s.entry.claims.session(), request, claimer.Submit{Visited: hostsFromWire(req.GetPassed())})
	if refusal != nil {
		return stream.Send(refusalReply(refusal))
	}
	defer w.leave()
	return sendOutput(ctx, w.output, stream)
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
