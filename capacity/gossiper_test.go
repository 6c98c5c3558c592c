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

// gossipNet is hosts that gossip without loss or delay.
type gossipNet struct {
	now   time.Time
	hosts []*gossiper.Gossiper
	at    map[dotterelpulley.HostID]*gossiper.Gossiper
	bytes int
}

func newGossipNet(n int) *gossipNet {
	net := &gossipNet{now: time.Unix(1<<30, 0), at: map[dotterelpulley.HostID]*gossiper.Gossiper{}}
	var listed []gossiper.Member
	for i := range n {
		listed = append(listed, gossiper.Member{
			Host:          dotterelpulley.HostID(fmt.Sprintf("entry-%03d", i)),
			Incarnation:   dotterelpulley.Incarnation(fmt.Sprintf("entry-%03d-a", i)),
			PeerAddress:   dotterelpulley.Address(fmt.Sprintf("10.1.%d.%d:7001", i/250, i%250)),
			CallerAddress: dotterelpulley.Address(fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250)),
			Zone:          "zone-1",
		})
	}
	for i, m := range listed {
		g := &gossiper.Gossiper{Self: m, Seed: uint64(i + 1)}
		g.SetHostList(net.now, listed)
		net.hosts = append(net.hosts, g)
		net.at[m.Host] = g
	}
	return net
}

// deliver carries the messages and their answers, and counts the bytes that they cost both ends.
func (n *gossipNet) deliver(sends []gossiper.OutgoingMessage, from *gossiper.Gossiper) {
	for len(sends) > 0 {
		s := sends[0]
		sends = sends[1:]
		reply, further := n.at[s.Host].Receive(n.now, s.Message)
		n.bytes += 2 * (s.Message.Bytes() + reply.Bytes() + 2*gossiper.CallOverhead)
		n.deliver(further, n.at[s.Host])
		n.deliver(from.ReceiveReply(n.now, reply), from)
	}
}

// second lets every host gossip for a second.
func (n *gossipNet) second() {
	for range time.Second / gossipTick {
		n.now = n.now.Add(gossipTick)
		for _, g := range n.hosts {
			n.deliver(g.Tick(n.now), g)
		}
	}
}

// BenchmarkGossiper lets hosts gossip without news; time and bytes are those of one host in one second.
func BenchmarkGossiper(b *testing.B) {
	atSizes(b, "peers", peerSizes, func(b *testing.B, n int) {
		net, heap := heapOf(func() *gossipNet {
			net := newGossipNet(n)
			for range 10 {
				net.second()
			}
			return net
		})
		net.bytes = 0
		seconds := 0
		began := time.Now()
		b.ResetTimer()
		for b.Loop() {
			net.second()
			seconds++
		}
		hostSeconds := float64(n * seconds)
		b.ReportMetric(float64(time.Since(began).Nanoseconds())/hostSeconds, "ns/host-second")
		b.ReportMetric(float64(net.bytes)/hostSeconds, "B/host-second")
		b.ReportMetric(heap/float64(n), "heap-B/host")
		runtime.KeepAlive(net)
	})
}
