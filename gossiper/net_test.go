package gossiper_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/gossiper"
)

const (
	step         = 10 * time.Millisecond
	stepsPerTick = 10
	callTimeout  = time.Second
)

var start = time.Unix(1_700_000_000, 0)

// delivery is a message in flight, or the notification that one was lost.
type delivery struct {
	at       time.Time
	from, to int
	message  gossiper.Message
	reply    bool
	lost     bool
}

// net simulates gossipers in virtual time over a lossy network.
type net struct {
	now      time.Time
	random   *rand.Rand
	loss     float64
	nodes    []*gossiper.Gossiper
	crashed  map[int]bool
	indexes  map[dotterelpulley.HostID]int
	inFlight []delivery
	bytes    []int
	steps    int
}

func newNet(seed uint64, members int, loss float64) *net {
	n := &net{now: start, random: rand.New(rand.NewPCG(seed, 1)), loss: loss, crashed: map[int]bool{}, indexes: map[dotterelpulley.HostID]int{}}
	var listed []gossiper.Member
	for i := range members {
		m := gossiper.Member{
			Host:          dotterelpulley.HostID(fmt.Sprintf("entry-%03d", i)),
			Incarnation:   dotterelpulley.Incarnation(fmt.Sprintf("mdk8f%03d", i)),
			PeerAddress:   dotterelpulley.Address(fmt.Sprintf("10.1.%d.%d:7001", i/250, i%250)),
			CallerAddress: dotterelpulley.Address(fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250)),
			Zone:          "tartu-a",
		}
		listed = append(listed, m)
		n.indexes[m.Host] = i
		n.nodes = append(n.nodes, &gossiper.Gossiper{Self: m, Seed: seed*1000 + uint64(i)})
	}
	for _, g := range n.nodes {
		g.SetHostList(n.now, listed)
	}
	n.bytes = make([]int, members)
	return n
}

func (n *net) send(from int, messages []gossiper.OutgoingMessage) {
	for _, s := range messages {
		n.transmit(delivery{from: from, to: n.indexes[s.Host], message: s.Message})
	}
}

// transmit sends a message; its bytes count for both ends.
func (n *net) transmit(d delivery) {
	size := d.message.Bytes() + gossiper.CallOverhead
	n.bytes[d.from] += size
	n.bytes[d.to] += size
	d.at = n.now.Add(time.Duration(1+n.random.IntN(20)) * time.Millisecond)
	if n.random.Float64() < n.loss || n.crashed[d.to] {
		d.lost = true
		d.at = n.now.Add(callTimeout)
	}
	n.inFlight = append(n.inFlight, d)
}

func (n *net) deliver(d delivery) {
	if n.crashed[d.from] || n.crashed[d.to] && !d.lost {
		return
	}
	caller := d.from
	if d.reply {
		caller = d.to
	}
	switch {
	case d.lost:
		other := d.from + d.to - caller
		n.send(caller, n.nodes[caller].RecordFailure(n.now, n.nodes[other].Self.Host))
	case d.reply:
		n.send(d.to, n.nodes[d.to].ReceiveReply(n.now, d.message))
	default:
		reply, messages := n.nodes[d.to].Receive(n.now, d.message)
		n.send(d.to, messages)
		n.transmit(delivery{from: d.to, to: d.from, message: reply, reply: true})
	}
}

// run advances the simulation until the condition holds or the time limit is reached, and returns the elapsed time.
func (n *net) run(limit time.Duration, until func() bool) time.Duration {
	startedAt := n.now
	for n.now.Sub(startedAt) < limit {
		if until() {
			return n.now.Sub(startedAt)
		}
		n.now = n.now.Add(step)
		due := n.inFlight
		n.inFlight = nil
		for _, d := range due {
			if d.at.After(n.now) {
				n.inFlight = append(n.inFlight, d)
				continue
			}
			n.deliver(d)
		}
		n.steps++
		for i, g := range n.nodes {
			if (i+n.steps)%stepsPerTick == 0 && !n.crashed[i] {
				n.send(i, g.Tick(n.now))
			}
		}
	}
	return limit
}

func (n *net) resetBytes() {
	clear(n.bytes)
}

// perSecond returns the mean and the highest bytes per second of a host, in both directions together.
func (n *net) perSecond(span time.Duration) (mean, highest float64) {
	sum := 0
	for _, b := range n.bytes {
		sum += b
		highest = max(highest, float64(b)/span.Seconds())
	}
	return float64(sum) / float64(len(n.bytes)) / span.Seconds(), highest
}

func never() bool { return false }
