package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley/announcer"
	"github.com/dotterelpulley/dotterelpulley/assessor"
	"github.com/dotterelpulley/dotterelpulley/budgeter"
	"github.com/dotterelpulley/dotterelpulley/relayer"
	"github.com/dotterelpulley/dotterelpulley/repeater"
)

const (
	relayProcedure = "/dotterel.relayer.v1.Relayer/Follow"
	// relayWait is how long a reader holds a query while nothing changes.
	relayWait = 600 * time.Millisecond
	// relayAnswerTimeout is the time limit of an answer beyond the wait.
	relayAnswerTimeout = 400 * time.Millisecond
	// relayDialTimeout limits the time to connect to a reader.
	relayDialTimeout = 300 * time.Millisecond
	// relayRetryDelay is the delay before the next reader is queried.
	relayRetryDelay = 50 * time.Millisecond
	// maxRelayAnswerBytes limits a reader's answer, many times the registrations of a large site.
	maxRelayAnswerBytes = 8 << 20
	// maxRelayQueryBytes limits a query, which holds a few numbers.
	maxRelayQueryBytes = 4 << 10
)

// changeFeed holds the state that this host relays to hosts that don't read the store themselves.
type changeFeed struct {
	// incarnation identifies this start of the host; sequence numbers are valid only within it.
	incarnation uint64
	mutex       sync.Mutex
	records     relayer.RecordSet
	// configuration is the operators' newest configuration record.
	configuration []byte
	orders        relayer.OrderSet
	changed       chan struct{}
}

// notify wakes all queries that wait for a change; the mutex must be held.
func (f *changeFeed) notify() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// wake answers all queries that wait for a change.
func (f *changeFeed) wake() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.notify()
}

func (f *changeFeed) setConfiguration(record []byte) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.configuration = record
	f.notify()
}

// putOrder adds an order and reports whether it is newer than the known one of its key.
func (f *changeFeed) putOrder(o relayer.Order) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	isNew := f.orders.Put(o)
	if isNew {
		f.notify()
	}
	return isNew
}

// ordersEnd returns the position after the newest known order.
func (f *changeFeed) ordersEnd() relayer.Position {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.orders.End()
}

func (f *changeFeed) put(r relayer.Record) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.records.Put(r)
	f.notify()
}

func (f *changeFeed) remove(key string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.records.Remove(key)
	f.notify()
}

// since returns the changes that the querying host lacks, and a channel that is closed at the next change.
func (f *changeFeed) since(query relayer.FollowRequest, version int64) (answer relayer.FollowResponse, hasChanges bool, changed <-chan struct{}) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	from := query.EndpointSequence
	if query.Incarnation != f.incarnation {
		from = 0
	}
	answer = relayer.FollowResponse{Incarnation: f.incarnation, Changes: f.records.ChangesSince(from), Orders: f.orders.Since(query.Orders)}
	if version > query.Configuration {
		answer.Configuration = f.configuration
	}
	hasChanges = len(answer.Records) > 0 || len(answer.Configuration) > 0 || len(answer.Orders) > 0
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return answer, hasChanges, f.changed
}

// relayCodec encodes and decodes relay messages.
type relayCodec struct{}

var errUnknownMessage = errors.New("unknown relay message type")

// Name returns the codec's name in content types.
func (relayCodec) Name() string {
	return "dotterel"
}

// Marshal encodes the message.
func (relayCodec) Marshal(message any) ([]byte, error) {
	switch m := message.(type) {
	case *relayer.FollowRequest:
		return m.Marshal(), nil
	case *relayer.FollowResponse:
		return m.Marshal(), nil
	case *evidenceQuery:
		return nil, nil
	case *evidenceReport:
		return assessor.Encode(m.evidence)
	}
	return nil, fmt.Errorf("marshal %T: %w", message, errUnknownMessage)
}

// Unmarshal decodes the message.
func (relayCodec) Unmarshal(data []byte, message any) error {
	switch m := message.(type) {
	case *relayer.FollowRequest:
		return m.Unmarshal(data)
	case *relayer.FollowResponse:
		return m.Unmarshal(data)
	case *evidenceQuery:
		return nil
	case *evidenceReport:
		evidence, err := assessor.Decode(data)
		m.evidence = evidence
		return err
	}
	return fmt.Errorf("unmarshal %T: %w", message, errUnknownMessage)
}

// relayHandler serves hosts that don't read the store themselves.
func (g *Gateway) relayHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(relayProcedure, connect.NewUnaryHandler(relayProcedure,
		func(ctx context.Context, request *connect.Request[relayer.FollowRequest]) (*connect.Response[relayer.FollowResponse], error) {
			return connect.NewResponse(g.answerFollower(ctx, *request.Msg)), nil
		}, connect.WithCodec(relayCodec{}), connect.WithReadMaxBytes(maxRelayQueryBytes)))
	mux.Handle(evidenceProcedure, g.evidenceHandler())
	calls := http.MaxBytesHandler(mux, maxRelayQueryBytes)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerForwarded) != "" {
			g.serveForwarded(w, r)
			return
		}
		calls.ServeHTTP(w, r)
	})
}

// answerFollower answers a query, after a wait if nothing has changed.
func (g *Gateway) answerFollower(ctx context.Context, query relayer.FollowRequest) *relayer.FollowResponse {
	if query.ContactOnly {
		return &relayer.FollowResponse{Contact: g.toldContact()}
	}
	budgeter.AccountOf(ctx).Serve()
	limit := time.NewTimer(min(query.Wait, relayWait))
	defer limit.Stop()
	for {
		// A position that is read later might be after records that the answer lacks.
		position := g.registry.position()
		answer, hasChanges, changed := g.changes.since(query, g.configurationVersion())
		answer.Position = position
		g.registry.dateRecords(answer.Records)
		answer.Era, answer.StoreLost = g.store.Era(), g.storeAccess.isLost(time.Now())
		if !hasChanges && (!answer.StoreLost || query.AcceptStoreLost) {
			select {
			case <-changed:
				continue
			case <-limit.C:
			case <-ctx.Done():
			case <-g.ctx.Done():
			}
		}
		answer.Age, answer.AgeKnown = g.freshness.age()
		// A list without the registrations that this host has yet to read would remove them at the other one.
		answer.AgeKnown = answer.AgeKnown && g.registry.complete()
		answer.Contact = g.toldContact()
		return &answer
	}
}

// followReaders keeps this host up to date through the hosts that read the store.
func (g *Gateway) followReaders() {
	client, closeIdle := newRelayClient()
	defer closeIdle()
	query := relayer.FollowRequest{Wait: relayWait}
	// withoutStore counts the readers that have in turn lost the store.
	withoutStore := 0
	for next := 0; g.ctx.Err() == nil; {
		now := time.Now()
		readers := g.otherReaders(now)
		if len(readers) == 0 || g.isReader(now) {
			repeater.Sleep(g.ctx, readCheckInterval)
			continue
		}
		reader := readers[next%len(readers)]
		query.Configuration, query.Orders = g.configurationVersion(), g.changes.ordersEnd()
		// Once all readers have lost the store, to ask them in turn without a wait would only load them.
		query.AcceptStoreLost = withoutStore >= len(readers)
		storeLost, err := g.queryReader(client, reader, &query)
		switch {
		case err != nil:
			g.metrics.Inc("relay-failures")
			g.event(log.InfoLevel, "reader-lost").Str("reader", string(reader.ID)).Err(err).Msg("")
		case storeLost:
			withoutStore++
		default:
			withoutStore = 0
			continue
		}
		next++
		repeater.Sleep(g.ctx, relayRetryDelay)
	}
}

// otherReaders returns the other hosts that read the store, in an order specific to this host.
func (g *Gateway) otherReaders(now time.Time) []announcer.Member {
	ids := g.selectReaders(now)
	members := g.peers.liveHosts(now)
	var readers []announcer.Member
	for _, m := range members {
		if slices.Contains(ids, m.ID) {
			readers = append(readers, m)
		}
	}
	// Hosts with adjacent positions query different readers first.
	if n := len(readers); n > 1 {
		first := g.peers.position(now) % n
		readers = append(readers[first:], readers[:first]...)
	}
	return readers
}

// queryReader queries one reader once, applies its answer, and reports whether the reader has lost the store.
func (g *Gateway) queryReader(client *http.Client, reader announcer.Member, query *relayer.FollowRequest) (storeLost bool, err error) {
	startedAt, calledAt := sinceBoot(), time.Now()
	answer, err := g.callReader(client, reader, query)
	if err != nil {
		return false, err
	}
	g.applyContact(calledAt, answer.Contact)
	if len(answer.Configuration) > 0 {
		g.applyConfiguration(answer.Configuration, -1)
	}
	for _, o := range answer.Orders {
		g.applyOrder(o)
	}
	if !answer.AgeKnown {
		return false, errors.New("the reader has no confirmed configuration yet")
	}
	g.store.ObserveEra(answer.Era)
	g.noteEra(time.Now())
	if !g.applyReaderChanges(time.Now(), answer) {
		return false, fmt.Errorf("the reader is in era %d of the store, which is in %d", answer.Era, g.store.Era())
	}
	query.Incarnation, query.EndpointSequence = answer.Incarnation, answer.Next
	// The reader measured the age after the query started, so this is never later than the reader's own confirmation.
	g.freshness.confirm(startedAt - answer.Age)
	return answer.StoreLost, nil
}

func (g *Gateway) callReader(client *http.Client, reader announcer.Member, query *relayer.FollowRequest) (*relayer.FollowResponse, error) {
	ctx, cancel := context.WithTimeout(g.ctx, query.Wait+relayAnswerTimeout)
	defer cancel()
	call := connect.NewClient[relayer.FollowRequest, relayer.FollowResponse](client, "http://"+string(reader.PeerAddress)+relayProcedure,
		connect.WithCodec(relayCodec{}), connect.WithReadMaxBytes(maxRelayAnswerBytes))
	response, err := call.CallUnary(ctx, connect.NewRequest(query))
	if err != nil {
		return nil, err
	}
	g.countZoneBytes("relayed", reader.Zone, len(response.Msg.Marshal()))
	return response.Msg, nil
}
