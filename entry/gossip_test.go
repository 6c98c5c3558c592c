package entry

import (
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/director"
	"github.com/dotterelpulley/dotterelpulley/gossiper"
)

func drawMember(t *rapid.T) gossiper.Member {
	return gossiper.Member{
		Host:          dotterelpulley.HostID(rapid.StringN(0, 20, 40).Draw(t, "host")),
		Incarnation:   dotterelpulley.Incarnation(rapid.StringN(0, 20, 40).Draw(t, "incarnation")),
		Heartbeat:     gossiper.Heartbeat(rapid.Uint64().Draw(t, "heartbeat")),
		State:         gossiper.State(rapid.IntRange(0, 2).Draw(t, "state")),
		Load:          rapid.Float64Range(0, 5).Draw(t, "load"),
		PeerAddress:   dotterelpulley.Address(rapid.StringN(0, 20, 40).Draw(t, "peer")),
		CallerAddress: dotterelpulley.Address(rapid.StringN(0, 20, 40).Draw(t, "caller")),
		Zone:          dotterelpulley.ZoneID(rapid.StringN(0, 20, 40).Draw(t, "zone")),
	}
}

func drawMessage(t *rapid.T) gossiper.Message {
	m := gossiper.Message{Sender: drawMember(t), Heads: map[gossiper.Stream]gossiper.Offset{}}
	at := func(name string) time.Time {
		return time.Unix(0, rapid.Int64Range(0, 1<<61).Draw(t, name))
	}
	for range rapid.IntRange(0, 3).Draw(t, "members") {
		m.Members = append(m.Members, drawMember(t))
	}
	for range rapid.IntRange(0, 3).Draw(t, "facts") {
		m.Facts = append(m.Facts, gossiper.Fact{
			Kind:     gossiper.Kind(rapid.StringN(1, 20, 40).Draw(t, "kind")),
			Subject:  rapid.StringN(0, 20, 40).Draw(t, "subject"),
			Revision: rapid.Int64().Draw(t, "revision"),
			Value:    rapid.SliceOfN(rapid.Byte(), 1, 30).Draw(t, "value"),
			Expires:  at("expires"),
		})
	}
	for range rapid.IntRange(0, 2).Draw(t, "records") {
		m.Records = append(m.Records, gossiper.Record{
			Stream:   gossiper.Stream(rapid.StringN(1, 20, 40).Draw(t, "stream")),
			Offset:   gossiper.Offset(rapid.Int64().Draw(t, "offset")),
			Data:     rapid.SliceOfN(rapid.Byte(), 1, 200).Draw(t, "data"),
			Appended: at("appended"),
		})
		m.Heads[m.Records[0].Stream] = m.Records[0].Offset
	}
	return m
}

func TestMessagesRoundTripWithinSizeBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMessage(t)
		request, reply := requestOfMessage(m), replyToWire(m)
		if size := proto.Size(request); size > m.Bytes() {
			t.Fatalf("%d bytes encoded, %d expected at most", size, m.Bytes())
		}
		if size := proto.Size(reply); size > m.Bytes() {
			t.Fatalf("%d bytes encoded, %d expected at most", size, m.Bytes())
		}
		for _, got := range []gossiper.Message{messageFromRequest(request), messageFromReply(reply)} {
			if !reflect.DeepEqual(got, m) {
				t.Fatalf("got %+v, want %+v", got, m)
			}
		}
	})
}

func (f *fleet) states(of *Entry) map[dotterelpulley.HostID]director.State {
	states := map[dotterelpulley.HostID]director.State{}
	for _, h := range of.directory(time.Now()) {
		states[h.ID] = h.State
	}
	return states
}

func TestDirectoryOmitsDeadAndDrainingHosts(t *testing.T) {
	f := newFleet(t, 4, nil)
	first, dying, draining := f.entries[0], f.entries[2], f.entries[3]
	f.until("the directory lists all hosts", func() bool {
		hosts := (director.Director{}).Order("127.0.0.1", "", first.directory(time.Now()))
		return len(hosts) == len(f.entries)
	})
	draining.beginDrain()
	f.until("the directory shows the draining host as leaving", func() bool {
		return f.states(first)[draining.settings.Host] == director.Leaving
	})
	f.Assert(dying.peerServer.Close(), qt.IsNil)
	f.until("the directory does not show the dead host as alive", func() bool {
		return f.states(first)[dying.settings.Host] != director.Alive
	})
}

func TestLeavingEndpointIsBroadcastToOtherHosts(t *testing.T) {
	f := newFleet(t, 3, nil)
	fact := gossiper.Fact{Kind: gossiper.KindLeavingEndpoint, Subject: "draft-1", Revision: 1, Expires: time.Now().Add(time.Hour)}
	f.entries[0].gossip.broadcast(time.Now(), fact)
	for _, e := range f.entries[1:] {
		f.until("the fact has arrived", func() bool { return e.counters.Get("facts-leaving-endpoint") > 0 })
		e.queue.mu.Lock()
		serves := e.queue.picker.Serves(time.Now(), testService, testVersion)
		e.queue.mu.Unlock()
		f.Check(serves, qt.IsFalse)
	}
}
