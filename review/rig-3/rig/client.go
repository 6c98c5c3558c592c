package rig

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"
)

var attempts atomic.Int64

// NextID returns an id that no other attempt has.
func NextID() string {
	return fmt.Sprintf("%016x", attempts.Add(1))
}

// Call is a client's attempt.
type Call struct {
	ID     string
	Method string
	Host   string
	Path   string
	Key    string
	Body   string
	Header map[string]string
	// Limit is the client's time limit.
	Limit time.Duration
}

// Answer is what a client got.
type Answer struct {
	Status int
	Body   string
	Signed bool
	// Kept means that the attempt was sent on a channel that had carried others.
	Kept bool
	// Err is set if the answer isn't whole.
	Err error
}

// Clients keeps channels to hosts open.
type Clients struct {
	http.Client
}

// NewClients returns clients that don't follow redirects or ask for encodings.
func NewClients() *Clients {
	return &Clients{http.Client{
		Transport:     &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 256},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Do sends the call to the host's address.
func (c *Clients) Do(ctx context.Context, address string, call Call) Answer {
	ctx, cancel := context.WithTimeout(ctx, call.Limit)
	defer cancel()
	kept := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { kept = c.Reused }})
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, strings.NewReader(call.Body))
	if err != nil {
		return Answer{Err: err}
	}
	request.Host = call.Host
	// The transport must not send an attempt twice by itself, which it does with what it can read again, and with a GET.
	request.GetBody = nil
	request.Header.Set("User-Agent", "")
	request.Header.Set("Dotterelpulley-Attempt-Id", call.ID)
	request.Header.Set("Dotterelpulley-Deadline-Ms", fmt.Sprint(call.Limit.Milliseconds()))
	if call.Key != "" {
		request.Header.Set("Api-Key", call.Key)
	}
	for name, value := range call.Header {
		request.Header.Set(name, value)
	}
	response, err := c.Client.Do(request)
	if err != nil {
		return Answer{Kept: kept, Err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return Answer{Kept: kept, Status: response.StatusCode, Body: string(body), Signed: response.Header.Get("Dotterelpulley-Response-Stamp") != "", Err: err}
}
