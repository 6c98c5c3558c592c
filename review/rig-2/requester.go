package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"
)

const (
	siteHost = "rig.example"
	path     = "/advice/"
	key      = "key-1"
	tenant   = "tenant-1"
)

// requester sends one stream request after another to one machine, on a channel that it keeps.
type requester struct {
	name    string
	machine string
	address string
	// timeLimit is what it sends as its time limit; patience is how long it waits for an event.
	timeLimit time.Duration
	patience  time.Duration
	pause     time.Duration
	events    int
	book      *book

	client http.Client
	sent   int
}

func (q *requester) run(ctx context.Context) {
	q.client.Transport = &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
	defer q.client.CloseIdleConnections()
	for ctx.Err() == nil {
		q.send()
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(q.pause)))
	}
}

func (q *requester) send() {
	q.sent++
	s := request{id: fmt.Sprintf("%s-%d", q.name, q.sent), machine: q.machine, sentAt: time.Now()}
	defer func() {
		s.endedAt = time.Now()
		q.book.add(s)
	}()
	ctx, leave := context.WithTimeout(context.Background(), q.timeLimit)
	defer leave()
	patience := time.AfterFunc(q.timeLimit, leave)
	defer patience.Stop()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { s.kept = c.Reused }})
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+q.address+path+"x", strings.NewReader("body of "+s.id))
	if err != nil {
		panic(err)
	}
	// With GetBody set, the transport may send a request again by itself.
	r.GetBody = nil
	r.Host = siteHost
	r.Header.Set("Dotterelpulley-Attempt-Id", s.id)
	r.Header.Set("Dotterelpulley-Deadline-Ms", strconv.FormatInt(q.timeLimit.Milliseconds(), 10))
	r.Header.Set("Dotterelpulley-Model", "m")
	r.Header.Set("Dotterelpulley-Token-Counts", "300,100")
	r.Header.Set("Dotterelpulley-Prompt-Prefix", fmt.Sprintf("a1:60,%x:240", rand.Uint32()))
	r.Header.Set("Api-Key", key)
	response, err := q.client.Do(r)
	if err != nil {
		s.left = ctx.Err() != nil
		s.closed = !s.left
		return
	}
	defer response.Body.Close()
	s.status, s.stamp = response.StatusCode, response.Header.Get("Dotterelpulley-Response-Stamp")
	patience.Reset(q.patience)
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		patience.Reset(q.patience)
		if s.events++; data != eventData(s.id, s.events) {
			s.wrong = fmt.Sprintf("event %d is %q", s.events, data)
		}
	}
	s.left = ctx.Err() != nil
	s.whole = lines.Err() == nil && (s.status != http.StatusOK || s.events == q.events)
	s.closed = !s.whole && !s.left
}
