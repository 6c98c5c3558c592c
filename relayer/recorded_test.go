package relayer

import (
	"bytes"
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// recorded returns a message as the build of the last landing wrote it.
func recorded(c *qt.C, name string) []byte {
	text, err := os.ReadFile(filepath.Join("testdata", "e9e7562-"+name+".hex"))
	c.Assert(err, qt.IsNil)
	b, err := hex.DecodeString(strings.TrimSpace(string(text)))
	c.Assert(err, qt.IsNil)
	return b
}

var (
	recordedRequest = FollowRequest{
		Incarnation: 3, EndpointSequence: 4, Configuration: 12, Orders: Position{Era: 2, Next: 9}, Wait: 600 * time.Millisecond, AcceptStoreLost: true,
	}
	recordedResponse = FollowResponse{
		Incarnation: 3, Era: 2, StoreLost: true, Position: 40, Age: 1500 * time.Millisecond, AgeKnown: true, Configuration: []byte(`{"version":12}`),
		Orders:  []Order{{Record: Record{Key: "rollout/s", Value: []byte("order")}, After: Position{Era: 2, Next: 8}}},
		Changes: Changes{Next: 5, Full: true, Records: []Record{{Key: "i-1", Value: []byte("live"), Written: 39}, {Key: "i-2", Value: []byte{}}}},
	}
)

func TestMessagesOfTheLastLandingAreRead(t *testing.T) {
	c := qt.New(t)
	var request FollowRequest
	c.Assert(request.Unmarshal(recorded(c, "request")), qt.IsNil)
	c.Assert(request, qt.Equals, recordedRequest)
	var response FollowResponse
	c.Assert(response.Unmarshal(recorded(c, "response")), qt.IsNil)
	c.Assert(response, qt.DeepEquals, recordedResponse)
}

// What this build writes must stay what the last landing reads: the same fields, and further ones that it skips.
func TestMessagesBeginAsTheLastLandingWroteThem(t *testing.T) {
	c := qt.New(t)
	c.Assert(bytes.HasPrefix(recordedRequest.Marshal(), recorded(c, "request")), qt.IsTrue)
	c.Assert(recordedResponse.Marshal(), qt.DeepEquals, recorded(c, "response"))
}

// A message that is cut or garbled is an error or a message of what is left, and never a contact that nobody told.
func FuzzMessages(f *testing.F) {
	c := qt.New(f)
	f.Add(recorded(c, "request"))
	f.Add(recorded(c, "response"))
	f.Add(FollowResponse{Contact: Contact{Since: time.Minute, Until: time.Second, Known: true}}.Marshal())
	f.Fuzz(func(t *testing.T, data []byte) {
		var request FollowRequest
		_ = request.Unmarshal(data) // An error is as good.
		var response FollowResponse
		_ = response.Unmarshal(data)
		if k := response.Contact; k.Known && (k.Until < 0 || k.Since < k.Until) {
			t.Fatalf("contact %+v", k)
		}
	})
}

func TestMessagesCutAnywhereAreRead(t *testing.T) {
	c := qt.New(t)
	whole := FollowResponse{Contact: Contact{Since: time.Minute, Until: time.Second, Known: true}, Changes: recordedResponse.Changes}.Marshal()
	for n := range whole {
		var response FollowResponse
		_ = response.Unmarshal(whole[:n])
		k := response.Contact
		c.Check(!k.Known || k.Since >= k.Until && k.Until >= 0, qt.IsTrue, qt.Commentf("cut after %d bytes: %+v", n, k))
	}
}
