package gateway

import (
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// An endpoint in trouble sent heads that are none: callers got their status, the answer behind them, or a body that isn't the endpoint's.
func TestAMalformedHeadIsTakenForAnAnswer(t *testing.T) {
	const (
		fields = "Dotterelpulley-Attempt-Id: ID\r\nDotterelpulley-Response-Stamp: s\r\n"
		length = "Content-Length: 5\r\n"
		body   = "\r\nhello"
		whole  = "HTTP/1.1 200 OK\r\n" + fields + length + body
	)
	for name, text := range map[string]string{
		"status 000":                             "HTTP/1.1 000 Odd\r\n" + fields + length + body,
		"status 000, then a whole answer":        "HTTP/1.1 000 Odd\r\n" + fields + "\r\n" + whole,
		"status 099, then a whole answer":        "HTTP/1.1 099 Odd\r\n" + fields + "\r\n" + whole,
		"status 600":                             "HTTP/1.1 600 Odd\r\n" + fields + length + body,
		"status 999":                             "HTTP/1.1 999 Odd\r\n" + fields + length + body,
		"blank in a name":                        "HTTP/1.1 200 OK\r\n" + fields + length + "X-A B: c\r\n" + body,
		"blank after a name":                     "HTTP/1.1 200 OK\r\n" + fields + length + "X-A : c\r\n" + body,
		"control byte in a name":                 "HTTP/1.1 200 OK\r\n" + fields + length + "X-A\x01: c\r\n" + body,
		"blank after the length's name":          "HTTP/1.1 200 OK\r\n" + fields + "Content-Length : 5\r\n" + body,
		"blank after the coding's name":          "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"blank in a name of an interim response": "HTTP/1.1 103 Early\r\nX-A B: c\r\n\r\n" + whole,
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.publishConfiguration(1, 1000)
			s.rawEndpoint("i-1", "plain", text, "")
			s.rawEndpoint("i-2", "model", strings.Replace(text, length, length+"Content-Type: text/event-stream\r\n", 1), "")
			g := s.startReadyGateway()
			s.waitForAllowance(g, 20)
			// These routes allow one endpoint, so that nothing waits for another one.
			for _, path := range []string{"/call/", "/open/", "/plan/"} {
				a := s.post(g, path, "x")
				s.Check(a.err, qt.IsNil, qt.Commentf("%s", path))
				s.Check(a.status, qt.Equals, http.StatusBadGateway, qt.Commentf("%s: %q", path, a.body))
			}
		})
	}
}
