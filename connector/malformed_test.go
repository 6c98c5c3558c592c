package connector

import (
	"context"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Heads that don't follow the protocol were taken for responses, with a body that isn't the endpoint's or another status.
func TestAMalformedHeadIsNoResponse(t *testing.T) {
	c := qt.New(t)
	const (
		fields = "Id: 1\r\n"
		length = "Content-Length: 5\r\n"
		body   = "\r\nhello"
		whole  = "HTTP/1.1 200 OK\r\n" + fields + length + body
	)
	for name, text := range map[string]string{
		"status 000":                             "HTTP/1.1 000 Odd\r\n" + fields + length + body,
		"status 000, then a whole response":      "HTTP/1.1 000 Odd\r\n" + fields + "\r\n" + whole,
		"status 099, then a whole response":      "HTTP/1.1 099 Odd\r\n" + fields + "\r\n" + whole,
		"status 101, then a whole response":      "HTTP/1.1 101 Switching\r\n" + fields + "\r\n" + whole,
		"status 600":                             "HTTP/1.1 600 Odd\r\n" + fields + length + body,
		"status 999":                             "HTTP/1.1 999 Odd\r\n" + fields + length + body,
		"blank in a name":                        "HTTP/1.1 200 OK\r\n" + fields + length + "X-A B: c\r\n" + body,
		"blank after a name":                     "HTTP/1.1 200 OK\r\n" + fields + length + "X-A : c\r\n" + body,
		"blank after the length's name":          "HTTP/1.1 200 OK\r\n" + fields + "Content-Length : 5\r\n" + body,
		"blank after the coding's name":          "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"control byte in a name":                 "HTTP/1.1 200 OK\r\n" + fields + length + "X-A\x01: c\r\n" + body,
		"tab in a name":                          "HTTP/1.1 200 OK\r\n" + fields + length + "X-A\t: c\r\n" + body,
		"empty name":                             "HTTP/1.1 200 OK\r\n" + fields + length + ": c\r\n" + body,
		"blank before the first name":            "HTTP/1.1 200 OK\r\n X-A: c\r\n" + fields + length + body,
		"no colon":                               "HTTP/1.1 200 OK\r\n" + fields + length + "X-A\r\n" + body,
		"separator in a name":                    "HTTP/1.1 200 OK\r\n" + fields + length + "X(A): c\r\n" + body,
		"NUL in a value":                         "HTTP/1.1 200 OK\r\n" + fields + length + "X-A: \x00\r\n" + body,
		"CR in a value":                          "HTTP/1.1 200 OK\r\n" + fields + length + "X-A: a\rb\r\n" + body,
		"another version":                        "HTTP/2.0 200 OK\r\n" + fields + length + body,
		"control byte in the reason":             "HTTP/1.1 200 O\x01K\r\n" + fields + length + body,
		"signed status":                          "HTTP/1.1 +20 OK\r\n" + fields + length + body,
		"two lengths":                            "HTTP/1.1 200 OK\r\n" + fields + length + "Content-Length: 4\r\n" + body,
		"signed length":                          "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: +5\r\n" + body,
		"unknown coding":                         "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: odd\r\n" + body,
		"blank in a name of an interim response": "HTTP/1.1 103 Early\r\nX-A B: c\r\n\r\n" + whole,
	} {
		address := startCuttingServer(c, 0, text, false)
		var p Connector
		x, err := p.Do(context.Background(), address, newRequest("1"))
		if err == nil {
			data, readErr := io.ReadAll(x.Body)
			c.Check(err, qt.IsNotNil, qt.Commentf("%s: status %d, body %q, %v", name, x.StatusCode, data, readErr))
			x.Abort()
		}
		p.Close()
	}
}

// Interim responses before the final one, and the liberties that the protocol allows, are no faults.
func TestAnUnusualHeadIsAResponse(t *testing.T) {
	c := qt.New(t)
	for name, text := range map[string]string{
		"interim responses": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nhello",
		"no reason":         "HTTP/1.1 200\r\nId: 1\r\nContent-Length: 5\r\n\r\nhello",
		"empty reason":      "HTTP/1.1 200 \r\nId: 1\r\nContent-Length: 5\r\n\r\nhello",
		"tab in the reason": "HTTP/1.1 200 O\tK\r\nId: 1\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.0":          "HTTP/1.0 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nhello",
		"bytes over 127":    "HTTP/1.1 200 O\xc3\xa9\r\nId: 1\r\nX-A: \xc3\xa9\r\nContent-Length: 5\r\n\r\nhello",
		"tokens in a name":  "HTTP/1.1 200 OK\r\nId: 1\r\nX!#$%&'*+-.^_`|~9: c\r\nContent-Length: 5\r\n\r\nhello",
		"continued value":   "HTTP/1.1 200 OK\r\nId: 1\r\nX-A: b\r\n c\r\nContent-Length: 5\r\n\r\nhello",
		"trailer":           "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-A: c\r\n\r\n",
		"no blank":          "HTTP/1.1 200 OK\r\nId:1\r\nContent-Length:5\r\n\r\nhello",
	} {
		address := startCuttingServer(c, 0, text, false)
		var p Connector
		x, err := p.Do(context.Background(), address, newRequest("1"))
		if c.Check(err, qt.IsNil, qt.Commentf("%s", name)) {
			data, err := io.ReadAll(x.Body)
			c.Check(err, qt.IsNil, qt.Commentf("%s", name))
			c.Check(string(data), qt.Equals, "hello", qt.Commentf("%s", name))
			x.Abort()
		}
		p.Close()
	}
}

// The answer before a trailer that doesn't follow the protocol isn't whole.
func TestAMalformedTrailerIsNoEndOfAResponse(t *testing.T) {
	c := qt.New(t)
	for name, field := range map[string]string{"blank": "X-A B: c", "blank behind": "X-A : c", "control byte": "X-A\x01: c", "no colon": "X-A"} {
		address := startCuttingServer(c, 0, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"+field+"\r\n\r\n", false)
		var p Connector
		x, err := p.Do(context.Background(), address, newRequest("1"))
		c.Assert(err, qt.IsNil, qt.Commentf("%s", name))
		_, err = io.ReadAll(x.Body)
		c.Check(err, qt.IsNotNil, qt.Commentf("%s", name))
		x.Abort()
		p.Close()
	}
}
