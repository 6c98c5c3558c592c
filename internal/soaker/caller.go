package soaker

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/platform/standin"
	"github.com/dotterelpulley/dotterelpulley/router"
)

const (
	// thinking is the mean pause of a caller between two requests.
	thinking = 40 * time.Millisecond
	// directoryFor is how long callers keep the addresses that they were told.
	directoryFor = time.Second
	bodyLimit    = 1 << 16
)

// caller sends one request after another; a faithful one keeps to its open connection until that fails.
type caller struct {
	site     *site
	name     string
	random   *rand.Rand
	faithful bool
	client   http.Client

	at    *host
	asked time.Time
	count int
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		if c.at == nil || !c.faithful && time.Since(c.asked) > directoryFor {
			c.choose(ctx)
		}
		if c.at != nil {
			c.send(ctx, c.at)
		}
		wait(ctx, time.Duration(c.random.ExpFloat64()*float64(thinking)))
	}
}

// choose asks a host which addresses to use, and takes one of them.
func (c *caller) choose(ctx context.Context) {
	c.at = nil
	ask := c.site.hosts[c.random.IntN(len(c.site.hosts))]
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(ask.settings.DirectoryAddress)+platform.DirectoryPath+"?zone=a", http.NoBody)
	if err != nil {
		return
	}
	response, err := c.client.Do(r)
	if err != nil {
		return
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, bodyLimit))
	if err != nil || response.StatusCode != http.StatusOK {
		return
	}
	addresses, err := standin.DecodeDirectory(data)
	if err != nil || len(addresses) == 0 {
		return
	}
	c.asked = time.Now()
	c.at = c.site.hostAt(addresses[c.random.IntN(len(addresses))])
}

func (c *caller) key() router.CallerKey {
	switch n := c.random.IntN(20); {
	case n == 0:
		return unknown
	case n < 4:
		return revocable
	case n < 9:
		return "key-narrow"
	}
	return "key-wide"
}

func (c *caller) send(ctx context.Context, at *host) {
	c.count++
	route := routes[c.random.IntN(len(routes))]
	s := Sent{
		Attempt: Attempt(c.name + "-" + strconv.Itoa(c.count)), Route: route.ID, Key: c.key(),
		Host: at.id, Start: at.number(), At: time.Now(),
	}
	ctx, cancel := context.WithTimeout(ctx, routeTimeout+askLimit)
	defer cancel()
	method, body := http.MethodPost, "body of "+string(s.Attempt)
	if route.Kind == router.Idempotent {
		method, body = http.MethodGet, ""
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+string(at.settings.CallerAddress)+route.Prefix+"x", strings.NewReader(body))
	if err != nil {
		panic(fmt.Sprintf("request %s: %v", s.Attempt, err))
	}
	r.Host = siteHost
	// Without it the transport would send some requests a second time by itself.
	r.GetBody = nil
	standin.RequestHeaders{AttemptID: string(s.Attempt), Key: s.Key, Timeout: routeTimeout}.Apply(r.Header)
	c.read(r, route, &s)
	s.Ended = time.Now()
	c.site.ledger.note(func(o *Observed) { o.Sent = append(o.Sent, s) })
	if s.Status == 0 || s.Status == http.StatusServiceUnavailable {
		c.client.CloseIdleConnections()
		c.at = nil
	}
}

func (c *caller) read(r *http.Request, route route, s *Sent) {
	response, err := c.client.Do(r)
	if err != nil {
		return
	}
	defer response.Body.Close()
	s.Status, s.Signed = response.StatusCode, standin.IsSigned(response.Header)
	if !route.stream || s.Status != http.StatusOK {
		data, err := io.ReadAll(io.LimitReader(response.Body, bodyLimit))
		s.Body, s.Whole = string(data), err == nil
		return
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			number, err := strconv.Atoi(id)
			if err != nil {
				number = -1
			}
			s.Events = append(s.Events, number)
		}
	}
	s.Whole = lines.Err() == nil
}

// wait pauses until the time is over or the context ends.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// hostAt returns the host that takes callers at the address.
func (s *site) hostAt(a dotterelpulley.Address) *host {
	for _, h := range s.hosts {
		if h.settings.CallerAddress == a {
			return h
		}
	}
	return nil
}
