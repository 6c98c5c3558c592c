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

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/platform/standin"
	"github.com/dotterelpulley/dotterelpulley/router"
)

const (
	// meanThinkTime is the mean pause of a caller between two requests.
	meanThinkTime = 40 * time.Millisecond
	// directoryTTL is how long callers use the addresses from the directory.
	directoryTTL = time.Second
	maxBodyBytes = 1 << 16
	// maxResends is how often a caller sends a refused request again, meanResendPause the mean pause before; connections from hosts to
	// endpoints stay open for longer.
	maxResends      = 5
	meanResendPause = 40 * time.Millisecond
	// resendHeader is the header of a request that is sent again, from which endpoints know the send.
	resendHeader = "Soak-Resend"
)

// caller sends one request after another; a sticky one keeps its host until a request fails.
type caller struct {
	site   *site
	name   string
	random *rand.Rand
	sticky bool
	client http.Client

	host         *host
	resolvedAt   time.Time
	requestCount int
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		if c.host == nil || !c.sticky && time.Since(c.resolvedAt) > directoryTTL {
			c.resolve(ctx)
		}
		if c.host != nil {
			c.send(ctx, c.host)
		}
		sleep(ctx, time.Duration(c.random.ExpFloat64()*float64(meanThinkTime)))
	}
}

// resolve asks a random host for the directory and picks one of the addresses in it.
func (c *caller) resolve(ctx context.Context) {
	c.host = nil
	directoryHost := c.site.hosts[c.random.IntN(len(c.site.hosts))]
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(directoryHost.settings.DirectoryAddress)+platform.DirectoryPath+"?zone=a", http.NoBody)
	if err != nil {
		return
	}
	response, err := c.client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil || response.StatusCode != http.StatusOK {
		return
	}
	addresses, err := standin.DecodeDirectory(data)
	if err != nil || len(addresses) == 0 {
		return
	}
	c.resolvedAt = time.Now()
	c.host = c.site.hostAt(addresses[c.random.IntN(len(addresses))])
}

func (c *caller) key() router.CallerKey {
	switch n := c.random.IntN(20); {
	case n == 0:
		return unknownKey
	case n < 4:
		return revocableKey
	case n < 9:
		return "key-narrow"
	}
	return "key-wide"
}

// send sends a request, and the same one again after a refusal if refusals are repeated.
func (c *caller) send(ctx context.Context, target *host) {
	c.requestCount++
	id := AttemptID(c.name + "-" + strconv.Itoa(c.requestCount))
	route := routeOf(c.random.IntN(drawnRoutes), id)
	key, deadline := c.key(), time.Now().Add(routeTimeout)
	sent := c.sendOnce(ctx, target, route, Sent{AttemptID: id, Key: key, Timeout: routeTimeout})
	for c.sendsAgain(ctx, route, sent, deadline) {
		if c.random.IntN(2) == 0 {
			target = c.site.randomHost(c.random)
		}
		sent = c.sendOnce(ctx, target, route, Sent{AttemptID: id, Key: key, Timeout: time.Until(deadline), Resend: sent.Resend + 1})
	}
	if sent.Status == 0 || sent.Status == http.StatusServiceUnavailable {
		c.client.CloseIdleConnections()
		c.host = nil
	}
}

// sendsAgain reports whether the caller sends the request again, after a pause.
func (c *caller) sendsAgain(ctx context.Context, route route, sent Sent, deadline time.Time) bool {
	if c.site.RefusalCopies == 0 || route.repeatable || sent.Resend >= maxResends {
		return false
	}
	if sent.Status != http.StatusServiceUnavailable && sent.Status != http.StatusTooManyRequests {
		return false
	}
	sleep(ctx, time.Duration(c.random.ExpFloat64()*float64(meanResendPause)))
	return ctx.Err() == nil && time.Until(deadline) > 0
}

// sendOnce sends the request and returns what became of it.
func (c *caller) sendOnce(ctx context.Context, target *host, route route, sent Sent) Sent {
	sent.Route, sent.Host, sent.Start, sent.SentAt = route.ID, target.id, target.startCount(), time.Now()
	soak := ctx
	ctx, cancel := context.WithTimeout(ctx, sent.Timeout+queryTimeout)
	defer cancel()
	method, body := http.MethodPost, bodyOf(sent.AttemptID)
	if route.Kind == router.Idempotent {
		method, body = http.MethodGet, ""
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+string(target.settings.CallerAddress)+route.Prefix+"x", c.bodyReader(body))
	if err != nil {
		panic(fmt.Sprintf("request %s: %v", sent.AttemptID, err))
	}
	request.Host = siteHost
	request.ContentLength = int64(len(body))
	// With GetBody set, the HTTP transport may resend a request by itself.
	request.GetBody = nil
	standin.RequestHeaders{AttemptID: string(sent.AttemptID), Key: sent.Key, Timeout: sent.Timeout}.Apply(request.Header)
	if sent.Resend > 0 {
		request.Header.Set(resendHeader, strconv.Itoa(sent.Resend))
	}
	c.readResponse(request, route, &sent)
	sent.EndedAt, sent.Withdrawn = time.Now(), soak.Err() != nil
	c.site.ledger.record(func(o *Observations) { o.Sent = append(o.Sent, sent) })
	return sent
}

// resendOf returns which send of a request has the header.
func resendOf(h http.Header) int {
	resend, err := strconv.Atoi(h.Get(resendHeader))
	if err != nil {
		return 0
	}
	return resend
}

// halfTime is the time between the two halves of a large body.
const halfTime = 300 * time.Millisecond

// bodyReader returns a reader of the body; a large one comes in two halves.
func (c *caller) bodyReader(body string) io.Reader {
	if len(body) < maxWholeBody {
		return strings.NewReader(body)
	}
	first, second := strings.NewReader(body[:len(body)/2]), strings.NewReader(body[len(body)/2:])
	return io.MultiReader(first, &pause{length: halfTime}, second)
}

// maxWholeBody is the size from which a body comes in two halves.
const maxWholeBody = 16 << 10

// pause is an empty reader whose end comes after the time.
type pause struct{ length time.Duration }

// Read waits.
func (p *pause) Read([]byte) (int, error) {
	<-time.After(p.length)
	return 0, io.EOF
}

// bodyOf returns a request's body, of some bytes, some KB, or more than a host sends before it reads the answer.
func bodyOf(id AttemptID) string {
	sizes := []int{0, 0, 0, 0, 3 << 10, 3 << 10, 3 << 10, 20 << 10}
	return "body of " + string(id) + strings.Repeat(".", sizes[xxhash.Sum64String(string(id))%uint64(len(sizes))])
}

func (c *caller) readResponse(request *http.Request, route route, sent *Sent) {
	response, err := c.client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	sent.Status, sent.Signed = response.StatusCode, standin.IsSigned(response.Header)
	if !route.stream || sent.Status != http.StatusOK {
		data, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
		sent.Body, sent.Completed = string(data), err == nil
		return
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			number, err := strconv.Atoi(id)
			if err != nil {
				number = -1
			}
			sent.Events = append(sent.Events, number)
		}
	}
	sent.Completed = lines.Err() == nil
}

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// hostAt returns the host with the caller address.
func (s *site) hostAt(a dotterelpulley.Address) *host {
	for _, h := range s.hosts {
		if h.settings.CallerAddress == a {
			return h
		}
	}
	return nil
}
