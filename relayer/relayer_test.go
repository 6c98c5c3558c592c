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

func TestLeavingHostsAndHostsWithoutTheStoreAreNotReaders(t *testing.T) {
	c := qt.New(t)
	all := hosts()
	all[0].StoreUnreachable, all[2].Leaving = true, true
	c.Assert(SelectReaders(all), qt.DeepEquals, []dotterelpulley.HostID{"a2", "b2"})
	for i := range all {
		all[i].StoreUnreachable = true
	}
	c.Assert(SelectReaders(all), qt.DeepEquals, []dotterelpulley.HostID{"a1", "b1"}, qt.Commentf("readers are still selected if no host reaches the store"))
}

// A host that follows a record set has the same records, however often it requests changes and whenever it restarts from zero.
func TestAFollowerHasTheSameRecordsAsTheSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var set RecordSet
		got := map[string]string{}
		want := map[string]string{}
		from := Sequence(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			key := rapid.StringMatching(`[a-e]`).Draw(t, "key")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				value := rapid.StringMatching(`[x-z]{1,3}`).Draw(t, "value")
				set.Put(Record{Key: key, Value: []byte(value)})
				want[key] = value
			case 2:
				set.Remove(key)
				delete(want, key)
			case 3:
				if rapid.Bool().Draw(t, "anew") {
					from = 0
				}
				var response FollowResponse
				if err := response.Unmarshal(FollowResponse{Changes: set.ChangesSince(from)}.Marshal()); err != nil {
					t.Fatal(err)
				}
				if response.Full {
					got = map[string]string{}
				}
				for _, r := range response.Records {
					if len(r.Value) == 0 {
						delete(got, r.Key)
						continue
					}
					got[r.Key] = string(r.Value)
				}
				from = response.Next
				if len(got) != len(want) {
					t.Fatalf("got %v, want %v", got, want)
				}
				for k, v := range want {
					if got[k] != v {
						t.Fatalf("got %v, want %v", got, want)
					}
				}
			}
		}
	})
}

func TestMarshalledMessagesKeepTheirFields(t *testing.T) {
	c := qt.New(t)
	request := FollowRequest{Incarnation: 1, EndpointSequence: 2, Configuration: 3, Wait: time.Second}
	var gotRequest FollowRequest
	c.Assert(gotRequest.Unmarshal(request.Marshal()), qt.IsNil)
	c.Assert(gotRequest, qt.Equals, request)
	response := FollowResponse{
		Incarnation: 1, Age: time.Second, AgeKnown: true, Configuration: []byte("c"),
		Changes: Changes{Full: true, Next: 4, Records: []Record{{Key: "k", Value: []byte("v")}, {Key: "gone", Value: []byte{}}}},
	}
	var gotResponse FollowResponse
	c.Assert(gotResponse.Unmarshal(response.Marshal()), qt.IsNil)
	c.Assert(gotResponse, qt.DeepEquals, response)
	c.Assert(gotResponse.Unmarshal([]byte{0xff}), qt.IsNotNil)
}
