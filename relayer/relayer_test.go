package relayer

import (
	"maps"
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
	request := FollowRequest{Incarnation: 1, EndpointSequence: 2, Configuration: 3, Wait: time.Second, Orders: Position{Era: 4, Next: 5}}
	var gotRequest FollowRequest
	c.Assert(gotRequest.Unmarshal(request.Marshal()), qt.IsNil)
	c.Assert(gotRequest, qt.Equals, request)
	response := FollowResponse{
		Incarnation: 1, Position: 12, Age: time.Second, AgeKnown: true, Configuration: []byte("c"),
		Orders: []Order{
			{Record: Record{Key: "rollout/s", Value: []byte("o")}, After: Position{Era: 2, Next: 9}},
			{Record: Record{Key: "withdrawn", Value: []byte{}}, After: Position{Era: 2, Next: 10}},
		},
		Changes: Changes{Full: true, Next: 4, Records: []Record{{Key: "k", Value: []byte("v"), Written: 11}, {Key: "gone", Value: []byte{}}}},
	}
	var gotResponse FollowResponse
	c.Assert(gotResponse.Unmarshal(response.Marshal()), qt.IsNil)
	c.Assert(gotResponse, qt.DeepEquals, response)
	c.Assert(gotResponse.Unmarshal([]byte{0xff}), qt.IsNotNil)
}

// A host that follows one reader after the other, some of them behind, never goes back to an older order and gets the newest.
func TestAFollowerOfSeveralReadersHasTheNewestOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []Order
		readers := make([]OrderSet, 2)
		read := make([]int, len(readers))
		var follower OrderSet
		at := Position{Era: 1}
		follow := func(reader *OrderSet) {
			var request FollowRequest
			if err := request.Unmarshal(FollowRequest{Orders: follower.End()}.Marshal()); err != nil {
				t.Fatal(err)
			}
			var response FollowResponse
			if err := response.Unmarshal(FollowResponse{Orders: reader.Since(request.Orders)}.Marshal()); err != nil {
				t.Fatal(err)
			}
			for _, o := range response.Orders {
				follower.Put(o)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(readers)-1).Draw(t, "reader")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				at.Next++
				key := rapid.StringMatching(`[a-c]`).Draw(t, "key")
				log = append(log, Order{Record: Record{Key: key, Value: []byte(rapid.StringMatching(`[x-z]{0,2}`).Draw(t, "value"))}, After: at})
			case 2:
				if read[i] < len(log) {
					readers[i].Put(log[read[i]])
					read[i]++
				}
			case 3:
				follow(&readers[i])
			case 4:
				at = Position{Era: at.Era + 1}
			}
		}
		newest := map[string]string{}
		for _, o := range log {
			newest[o.Key] = string(o.Value)
		}
		for _, o := range log[read[0]:] {
			readers[0].Put(o)
		}
		follow(&readers[0])
		got := map[string]string{}
		for _, o := range follower.Since(Position{}) {
			got[o.Key] = string(o.Value)
		}
		if !maps.Equal(got, newest) {
			t.Fatalf("got %v, want %v", got, newest)
		}
	})
}

func TestContactsAreToldAsTheyAre(t *testing.T) {
	c := qt.New(t)
	for _, contact := range []Contact{{}, {Known: true}, {Since: time.Hour, Until: time.Second, Known: true}} {
		var response FollowResponse
		c.Assert(response.Unmarshal(FollowResponse{Contact: contact}.Marshal()), qt.IsNil)
		c.Assert(response.Contact, qt.Equals, contact)
	}
	var request FollowRequest
	c.Assert(request.Unmarshal(FollowRequest{ContactOnly: true}.Marshal()), qt.IsNil)
	c.Assert(request.ContactOnly, qt.IsTrue)
}

// A span that ends before it begins, or whose numbers no clock can have, tells nothing.
func TestImpossibleContactsAreNone(t *testing.T) {
	c := qt.New(t)
	for _, contact := range []Contact{{Since: 1, Until: 2, Known: true}, {Since: -1, Until: 0, Known: true}, {Since: 1, Until: -1, Known: true}} {
		var response FollowResponse
		c.Assert(response.Unmarshal(FollowResponse{Contact: contact}.Marshal()), qt.IsNil)
		c.Assert(response.Contact, qt.Equals, Contact{})
	}
}
