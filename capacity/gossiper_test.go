package capacity

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/gossiper"
)

const gossipTick = 100 * time.Millisecond

// gossipNet is a set of hosts that gossip without loss or delay.
type gossipNet struct {
	now    time.Time
	hosts  []*gossiper.Gossiper
	byHost map[dotterelpulley.HostID]*gossiper.Gossiper
	bytes  int
}

func newGossipNet(n int) *gossipNet {
	net := &gossipNet{now: time.Unix(1<<30, 0), byHost: map[dotterelpulley.HostID]*gossiper.Gossiper{}}
	var members []gossiper.Member
	for i := range n {
		members = append(members, gossiper.Member{
			Host:          dotterelpulley.HostID(fmt.Sprintf("entry-%03d", i)),
			Incarnation:   dotterelpulley.Incarnation(fmt.Sprintf("entry-%03d-a", i)),
			PeerAddress:   dotterelpulley.Address(fmt.Sprintf("10.1.%d.%d:7001", i/250, i%250)),
			CallerAddress: dotterelpulley.Address(fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250)),
			Zone:          "zone-1",
		})
	}
	for i, m := range members {
		g := &gossiper.Gossiper{Self: m, Seed: uint64(i + 1)}
		g.SetHostList(net.now, members)
		net.hosts = append(net.hosts, g)
		net.byHost[m.Host] = g
	}
	return net
}

// deliver delivers the messages and their replies, and counts the bytes that both sides send and receive.
func (n *gossipNet) deliver(messages []gossiper.OutgoingMessage, from *gossiper.Gossiper) {
	for len(messages) > 0 {
		message := messages[0]
		messages = messages[1:]
		reply, further := n.byHost[message.Host].Receive(n.now, message.Message)
		n.bytes += 2 * (message.Message.Bytes() + reply.Bytes() + 2*gossiper.CallOverhead)
		n.deliver(further, n.byHost[message.Host])
		n.deliver(from.ReceiveReply(n.now, reply), from)
	}
}

// runSecond runs the gossip of all hosts for one second.
func (n *gossipNet) runSecond() {
	for range time.Second / gossipTick {
		n.now = n.now.Add(gossipTick)
		for _, g := range n.hosts {
			n.deliver(g.Tick(n.now), g)
		}
	}
}

// BenchmarkGossiper runs gossip between hosts that have no changes to report; time and bytes are per host and second.
func BenchmarkGossiper(b *testing.B) {
	runSizes(b, "peers", peerSizes, func(b *testing.B, n int) {
		net, heap := measureHeap(func() *gossipNet {
			net := newGossipNet(n)
			for range 10 {
				net.runSecond()
			}
			return net
		})
		net.bytes = 0
		seconds := 0
		start := time.Now()
		b.ResetTimer()
		for b.Loop() {
			net.runSecond()
			seconds++
		}
		hostSeconds := float64(n * seconds)
		b.ReportMetric(float64(time.Since(start).Nanoseconds())/hostSeconds, "ns/host-second")
		b.ReportMetric(float64(net.bytes)/hostSeconds, "B/host-second")
		b.ReportMetric(heap/float64(n), "heap-B/host")
		runtime.KeepAlive(net)
	})
}
