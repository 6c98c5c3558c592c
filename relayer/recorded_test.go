package relayer

import (
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/encoding/protowire"
)

// recorded returns a message as the build of a landing wrote it.
func recorded(c *qt.C, landing, name string) []byte {
	text, err := os.ReadFile(filepath.Join("testdata", landing+"-"+name+".hex"))
	c.Assert(err, qt.IsNil)
	b, err := hex.DecodeString(strings.TrimSpace(string(text)))
	c.Assert(err, qt.IsNil)
	return b
}

var recordedRequest = FollowRequest{
	Incarnation: 3, EndpointSequence: 4, Configuration: 12, Orders: Position{Era: 2, Next: 9}, Wait: 600 * time.Millisecond, AcceptStoreLost: true,
}

// recordedResponses holds what each landing wrote; those before e9e7562 have no offsets, those before de590f6 no contact.
var recordedResponses = map[string]FollowResponse{
	"9dca8b7": recordedResponse(0, 0), "164c83d": recordedResponse(0, 0), "e9e7562": recordedResponse(40, 39),
	"de590f6": recordedResponseWithContact(), "f885380": recordedResponseWithContact(),
}

func recordedResponseWithContact() FollowResponse {
	r := recordedResponse(40, 39)
	r.Contact = Contact{Since: time.Minute, Until: time.Second, Known: true}
	return r
}

func recordedResponse(position, written int64) FollowResponse {
	return FollowResponse{
		Incarnation: 3, Era: 2, StoreLost: true, Position: position, Age: 1500 * time.Millisecond, AgeKnown: true, Configuration: []byte(`{"version":12}`),
		Orders:  []Order{{Record: Record{Key: "rollout/s", Value: []byte("order")}, After: Position{Era: 2, Next: 8}}},
		Changes: Changes{Next: 5, Full: true, Records: []Record{{Key: "i-1", Value: []byte("live"), Written: written}, {Key: "i-2", Value: []byte{}}}},
	}
}

func TestMessagesOfEarlierLandingsAreRead(t *testing.T) {
	c := qt.New(t)
	for landing, want := range recordedResponses {
		var request FollowRequest
		c.Assert(request.Unmarshal(recorded(c, landing, "request")), qt.IsNil, qt.Commentf(landing))
		c.Check(request, qt.Equals, recordedRequest, qt.Commentf(landing))
		var response FollowResponse
		c.Assert(response.Unmarshal(recorded(c, landing, "response")), qt.IsNil, qt.Commentf(landing))
		c.Check(response, qt.DeepEquals, want, qt.Commentf(landing))
	}
}

// What this build writes must stay what earlier landings read: their fields, unchanged, among further ones that they skip.
func TestMessagesKeepTheFieldsOfEarlierLandings(t *testing.T) {
	c := qt.New(t)
	for landing, response := range recordedResponses {
		request := recordedRequest
		if !response.Contact.Known {
			response.Contact = Contact{Since: time.Minute, Until: time.Second, Known: true}
			request.ContactOnly = true
		}
		for name, written := range map[string][]byte{"request": request.Marshal(), "response": response.Marshal()} {
			today := fieldsOf(c, written)
			for _, field := range fieldsOf(c, recorded(c, landing, name)) {
				c.Check(today, qt.Contains, field, qt.Commentf("%s %s", landing, name))
			}
		}
	}
}

// fieldsOf returns the encoded fields of a message.
func fieldsOf(c *qt.C, b []byte) []string {
	var parts []string
	for len(b) > 0 {
		_, _, size := protowire.ConsumeField(b)
		c.Assert(size > 0, qt.IsTrue)
		parts = append(parts, string(b[:size]))
		b = b[size:]
	}
	return parts
}

// A message that is cut or garbled is an error or a message of what is left, and never a contact that nobody told.
func FuzzMessages(f *testing.F) {
	c := qt.New(f)
	f.Add(recorded(c, "e9e7562", "request"))
	f.Add(recorded(c, "e9e7562", "response"))
	f.Add(recorded(c, "de590f6", "response"))
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
	whole := FollowResponse{Contact: Contact{Since: time.Minute, Until: time.Second, Known: true}, Changes: recordedResponse(40, 39).Changes}.Marshal()
	for n := range whole {
		var response FollowResponse
		_ = response.Unmarshal(whole[:n])
		k := response.Contact
		c.Check(!k.Known || k.Since >= k.Until && k.Until >= 0, qt.IsTrue, qt.Commentf("cut after %d bytes: %+v", n, k))
	}
}
