package relayer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dotterelpulley/dotterelpulley"
)

func hosts() []Host {
	return []Host{
		{ID: "a1", Zone: "a"}, {ID: "a2", Zone: "a"}, {ID: "b1", Zone: "b"}, {ID: "b2", Zone: "b"}, {ID: "c1", Zone: "c"},
	}
}

func TestReadersAreInDifferentZones(t *testing.T) {
	c := qt.New(t)
	c.Assert(SelectReaders(hosts()), qt.DeepEquals, []dotterelpulley.HostID{"a1", "b1"})
}

func TestHostsThatLeaveOrLostTheStoreDoNotRead(t *testing.T) {
	c := qt.New(t)
	all := hosts()
	all[0].StoreUnreachable, all[2].Leaving = true, true
	c.Assert(SelectReaders(all), qt.DeepEquals, []dotterelpulley.HostID{"a2", "b2"})
	for i := range all {
		all[i].StoreUnreachable = true
	}
	c.Assert(SelectReaders(all), qt.DeepEquals, []dotterelpulley.HostID{"a1", "b1"}, qt.Commentf("someone has to try"))
}

// A host that follows a book holds the same records, however often it asks and whenever it begins anew.
func TestAFollowerHoldsWhatTheBookHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b RecordSet
		held := map[string]string{}
		want := map[string]string{}
		from := Sequence(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			key := rapid.StringMatching(`[a-e]`).Draw(t, "key")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				value := rapid.StringMatching(`[x-z]{1,3}`).Draw(t, "value")
				b.Put(Record{Key: key, Value: []byte(value)})
				want[key] = value
			case 2:
				b.Remove(key)
				delete(want, key)
			case 3:
				if rapid.Bool().Draw(t, "anew") {
					from = 0
				}
				var answer FollowResponse
				if err := answer.Unmarshal(FollowResponse{Changes: b.ChangesSince(from)}.Marshal()); err != nil {
					t.Fatal(err)
				}
				if answer.Full {
					held = map[string]string{}
				}
				for _, r := range answer.Records {
					if len(r.Value) == 0 {
						delete(held, r.Key)
						continue
					}
					held[r.Key] = string(r.Value)
				}
				from = answer.Next
				if len(held) != len(want) {
					t.Fatalf("held %v, want %v", held, want)
				}
				for k, v := range want {
					if held[k] != v {
						t.Fatalf("held %v, want %v", held, want)
					}
				}
			}
		}
	})
}

func TestMessagesKeepTheirFields(t *testing.T) {
	c := qt.New(t)
	ask := FollowRequest{Incarnation: 1, EndpointSequence: 2, Configuration: 3, Wait: time.Second}
	var gotAsk FollowRequest
	c.Assert(gotAsk.Unmarshal(ask.Marshal()), qt.IsNil)
	c.Assert(gotAsk, qt.Equals, ask)
	answer := FollowResponse{
		Incarnation: 1, Age: time.Second, AgeKnown: true, Configuration: []byte("c"),
		Changes: Changes{Full: true, Next: 4, Records: []Record{{Key: "k", Value: []byte("v")}, {Key: "gone", Value: []byte{}}}},
	}
	var gotAnswer FollowResponse
	c.Assert(gotAnswer.Unmarshal(answer.Marshal()), qt.IsNil)
	c.Assert(gotAnswer, qt.DeepEquals, answer)
	c.Assert(gotAnswer.Unmarshal([]byte{0xff}), qt.IsNotNil)
}
