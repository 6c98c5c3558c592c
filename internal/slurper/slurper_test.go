package slurper

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

// endless is a body without end.
type endless struct{}

func (endless) Read(b []byte) (int, error) {
	return len(b), nil
}

// A body that is cut at the limit must not pass for a whole one.
func TestABodyBeyondItsLimitIsAnError(t *testing.T) {
	c := qt.New(t)
	data, err := ReadAll(strings.NewReader("body"), 4)
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.Equals, "body")
	_, err = ReadAll(strings.NewReader("body"), 3)
	c.Assert(err, qt.Equals, ErrTooLarge)
	_, err = ReadAll(endless{}, 1<<20)
	c.Assert(err, qt.Equals, ErrTooLarge)
}

// A service that answers without end must not fill the memory of those that call it.
func TestAnAnswerBeyondItsLimitIsAnError(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/endless" {
			_, _ = io.Copy(w, endless{})
		}
		_, _ = io.WriteString(w, strings.Repeat("x", 100))
	}))
	defer server.Close()
	client := Client{Limit: 100}
	defer client.CloseIdleConnections()
	get := func(path string) error {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(req)
		defer fasthttp.ReleaseResponse(resp)
		req.SetRequestURI(server.URL + path)
		return client.DoTimeout(req, resp, time.Minute)
	}
	c.Assert(get("/"), qt.IsNil)
	c.Assert(get("/endless"), qt.Equals, fasthttp.ErrBodyTooLarge)
	c.Assert(get("/"), qt.IsNil)
}
