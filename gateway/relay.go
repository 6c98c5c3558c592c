package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley/announcer"
	"github.com/dotterelpulley/dotterelpulley/relayer"
	"github.com/dotterelpulley/dotterelpulley/repeater"
)

const (
	relayProcedure = "/dotterel.relayer.v1.Relayer/Follow"
	// relayWait is how long a reader holds a question without news.
	relayWait = 600 * time.Millisecond
	// relayLimit is the longest time for an answer beyond the wait.
	relayLimit = 400 * time.Millisecond
	// relayDialTimeout bounds the set-up of a connection to a reader.
	relayDialTimeout = 300 * time.Millisecond
	// relayRetry is the pause before the next reader is asked.
	relayRetry = 50 * time.Millisecond
)

// news is what this host tells those that don't read the store themselves.
type news struct {
	// incarnation is this start of the host, to which the book's numbers belong.
	incarnation uint64
	mutex       sync.Mutex
	book        relayer.RecordSet
	// configuration is the newest record of the operators.
	configuration []byte
	changed       chan struct{}
}

// notify wakes those that wait for news; the mutex is held.
func (n *news) notify() {
	if n.changed != nil {
		close(n.changed)
		n.changed = nil
	}
}

func (n *news) configured(record []byte) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.configuration = record
	n.notify()
}

func (n *news) put(r relayer.Record) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.book.Put(r)
	n.notify()
}

func (n *news) drop(key string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.book.Remove(key)
	n.notify()
}

// since returns what the asking host lacks, and a channel that is closed at the next change.
func (n *news) since(ask relayer.FollowRequest, version int64) (answer relayer.FollowResponse, fresh bool, changed <-chan struct{}) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	from := ask.EndpointSequence
	if ask.Incarnation != n.incarnation {
		from = 0
	}
	answer = relayer.FollowResponse{Incarnation: n.incarnation, Changes: n.book.ChangesSince(from)}
	if version > ask.Configuration {
		answer.Configuration = n.configuration
	}
	fresh = len(answer.Records) > 0 || len(answer.Configuration) > 0
	if n.changed == nil {
		n.changed = make(chan struct{})
	}
	return answer, fresh, n.changed
}

// relayCodec maps relay messages to bytes.
type relayCodec struct{}

var errUnknownMessage = errors.New("not a message of the relay")

// Name returns the codec's name in content types.
func (relayCodec) Name() string {
	return "dotterel"
}

// Marshal returns the message's bytes.
func (relayCodec) Marshal(message any) ([]byte, error) {
	switch m := message.(type) {
	case *relayer.FollowRequest:
		return m.Marshal(), nil
	case *relayer.FollowResponse:
		return m.Marshal(), nil
	}
	return nil, fmt.Errorf("marshal %T: %w", message, errUnknownMessage)
}

// Unmarshal reads the message's bytes.
func (relayCodec) Unmarshal(data []byte, message any) error {
	switch m := message.(type) {
	case *relayer.FollowRequest:
		return m.Unmarshal(data)
	case *relayer.FollowResponse:
		return m.Unmarshal(data)
	}
	return fmt.Errorf("unmarshal %T: %w", message, errUnknownMessage)
}

// relayHandler answers hosts that don't read the store themselves.
func (g *Gateway) relayHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(relayProcedure, connect.NewUnaryHandler(relayProcedure,
		func(ctx context.Context, r *connect.Request[relayer.FollowRequest]) (*connect.Response[relayer.FollowResponse], error) {
			return connect.NewResponse(g.tell(ctx, *r.Msg)), nil
		}, connect.WithCodec(relayCodec{})))
	return mux
}

// tell answers a question, after a wait if there is nothing new.
func (g *Gateway) tell(ctx context.Context, ask relayer.FollowRequest) *relayer.FollowResponse {
	limit := time.NewTimer(min(ask.Wait, relayWait))
	defer limit.Stop()
	for {
		version := int64(0)
		if t := g.table.Load(); t != nil {
			version = t.Version
		}
		answer, fresh, changed := g.news.since(ask, version)
		if !fresh {
			select {
			case <-changed:
				continue
			case <-limit.C:
			case <-ctx.Done():
			case <-g.ctx.Done():
			}
		}
		answer.Age, answer.AgeKnown = g.contact.age()
		return &answer
	}
}

// followReaders keeps this host up to date by the hosts that read the store.
func (g *Gateway) followReaders() {
	dialer := net.Dialer{Timeout: relayDialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	var ask relayer.FollowRequest
	ask.Wait = relayWait
	for turn := 0; g.ctx.Err() == nil; {
		now := time.Now()
		sources := g.sources(now)
		if len(sources) == 0 || g.designated(now) {
			repeater.Sleep(g.ctx, readCheck)
			continue
		}
		source := sources[turn%len(sources)]
		if t := g.table.Load(); t != nil {
			ask.Configuration = t.Version
		}
		if err := g.askReader(client, source, &ask); err != nil {
			g.metrics.Inc("relay-failures")
			g.event(log.InfoLevel, "reader-lost").Str("reader", string(source.ID)).Err(err).Msg("")
			turn++
			repeater.Sleep(g.ctx, relayRetry)
		}
	}
}

// sources are the other hosts that read the store, in this host's own order.
func (g *Gateway) sources(now time.Time) []announcer.Member {
	ids := relayer.SelectReaders(g.readers(now))
	members := g.peers.live(now)
	var sources []announcer.Member
	for _, m := range members {
		if slices.Contains(ids, m.ID) {
			sources = append(sources, m)
		}
	}
	// Neighbours in the list of hosts ask different readers first.
	if n := len(sources); n > 1 {
		first := g.peers.place(now) % n
		sources = append(sources[first:], sources[:first]...)
	}
	return sources
}

// askReader asks one reader once and takes its answer in.
func (g *Gateway) askReader(client *http.Client, source announcer.Member, ask *relayer.FollowRequest) error {
	ctx, cancel := context.WithTimeout(g.ctx, relayWait+relayLimit)
	defer cancel()
	call := connect.NewClient[relayer.FollowRequest, relayer.FollowResponse](client, "http://"+string(source.PeerAddress)+relayProcedure, connect.WithCodec(relayCodec{}))
	begun := sinceBoot()
	response, err := call.CallUnary(ctx, connect.NewRequest(ask))
	if err != nil {
		return err
	}
	answer := response.Msg
	if len(answer.Configuration) > 0 {
		g.configure(answer.Configuration, -1)
	}
	if !answer.AgeKnown {
		return errors.New("the reader knows nothing yet")
	}
	g.hearEndpoints(answer.Changes)
	ask.Incarnation, ask.EndpointSequence = answer.Incarnation, answer.Next
	// The answer was given after the question, so its age holds from then on at least.
	g.contact.prove(begun - answer.Age)
	return nil
}
