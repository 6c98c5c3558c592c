package verifier_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/dotterelpulley/dotterelpulley/internal/slurper"
	"github.com/dotterelpulley/dotterelpulley/internal/verifier"
)

const (
	length = "Content-Length: 5\r\n"
	body   = "\r\nhello"
	whole  = "HTTP/1.1 200 OK\r\n" + length + body
)

// malformed are heads that are no responses.
var malformed = map[string]string{
	"status 000":                        "HTTP/1.1 000 Odd\r\n" + length + body,
	"status 000, then a whole response": "HTTP/1.1 000 Odd\r\n\r\n" + whole,
	"status 099, then a whole response": "HTTP/1.1 099 Odd\r\n\r\n" + whole,
	"status 101, then a whole response": "HTTP/1.1 101 Switching\r\n\r\n" + whole,
	"status 600":                        "HTTP/1.1 600 Odd\r\n" + length + body,
	"status 999":                        "HTTP/1.1 999 Odd\r\n" + length + body,
	"blank in a name":                   "HTTP/1.1 200 OK\r\n" + length + "X-A B: c\r\n" + body,
	"blank after a name":                "HTTP/1.1 200 OK\r\n" + length + "X-A : c\r\n" + body,
	"blank after the length's name":     "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n" + body,
	"blank after the coding's name":     "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"control byte in a name":            "HTTP/1.1 200 OK\r\n" + length + "X-A\x01: c\r\n" + body,
	"tab in a name":                     "HTTP/1.1 200 OK\r\n" + length + "X-A\t: c\r\n" + body,
	"empty name":                        "HTTP/1.1 200 OK\r\n" + length + ": c\r\n" + body,
	"separator in a name":               "HTTP/1.1 200 OK\r\n" + length + "X(A): c\r\n" + body,
	"blank before the first name":       "HTTP/1.1 200 OK\r\n X-A: c\r\n" + length + body,
	"no colon":                          "HTTP/1.1 200 OK\r\n" + length + "X\n" + body,
	"lone CR before a name":             "HTTP/1.1 200 OK\r\n" + length + "\rX-A: c\r\n" + body,
	"status of four digits":             "HTTP/1.1 2000 OK\r\n" + length + body,
	"interim, then status 000":          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Odd\r\n" + length + body,
	"NUL in a value":                    "HTTP/1.1 200 OK\r\n" + length + "X-A: \x00\r\n" + body,
	"control byte in the reason":        "HTTP/1.1 200 O\x01K\r\n" + length + body,
}

// startServer answers the request on each connection with the text and closes it; it returns the server's address.
func startServer(t *testing.T, text string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	var serving conc.WaitGroup
	t.Cleanup(serving.Wait)
	t.Cleanup(func() { l.Close() })
	serving.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, text)
			}
			conn.Close()
		}
	})
	return l.Addr().String()
}

// get gets an answer by net/http.
func get(t *testing.T, address string) (int, string, error) {
	base := &http.Transport{}
	defer base.CloseIdleConnections()
	client := http.Client{Transport: verifier.Transport{RoundTripper: base}, Timeout: 10 * time.Second}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/", http.NoBody)
	qt.Assert(t, err, qt.IsNil)
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// getFast gets an answer by fasthttp.
func getFast(_ *testing.T, address string) (int, string, error) {
	var client slurper.Client
	defer client.CloseIdleConnections()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + "/")
	if err := client.DoTimeout(request, response, 10*time.Second); err != nil {
		return 0, "", err
	}
	return response.StatusCode(), string(response.Body()), nil
}

// A head that doesn't follow the protocol was taken for an answer, with a status or a body that nobody sent.
func TestAMalformedHeadIsNoAnswer(t *testing.T) {
	for client, get := range map[string]func(t *testing.T, address string) (int, string, error){"net/http": get, "fasthttp": getFast} {
		for name, text := range malformed {
			status, got, err := get(t, startServer(t, text))
			qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s, %s: status %d, body %q", client, name, status, got))
		}
	}
}

// Interim responses and the liberties that the protocol allows are no faults.
func TestAnUnusualHeadIsAnAnswer(t *testing.T) {
	for client, get := range map[string]func(t *testing.T, address string) (int, string, error){"net/http": get, "fasthttp": getFast} {
		for name, text := range map[string]string{
			"interim response": "HTTP/1.1 100 Continue\r\n\r\n" + whole,
			"no reason":        "HTTP/1.1 200\r\n" + length + body,
			"tokens in a name": "HTTP/1.1 200 OK\r\nX!#$%&'*+-.^_`|~9: c\r\n" + length + body,
			"bytes over 127":   "HTTP/1.1 200 O\xc3\xa9\r\nX-A: \xc3\xa9\r\n" + length + body,
			"continued value":  "HTTP/1.1 200 OK\r\n" + length + "X-A: b\r\n c\r\n" + body,
			"no length":        "HTTP/1.1 200 OK\r\n" + body,
		} {
			status, got, err := get(t, startServer(t, text))
			qt.Check(t, err, qt.IsNil, qt.Commentf("%s, %s", client, name))
			qt.Check(t, status, qt.Equals, http.StatusOK, qt.Commentf("%s, %s", client, name))
			qt.Check(t, got, qt.Equals, "hello", qt.Commentf("%s, %s", client, name))
		}
	}
}
