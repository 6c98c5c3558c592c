package controller

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/lister"
	"github.com/dotterelpulley/dotterelpulley/mover"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

func (c *Controller) appendRecord(a mover.Append) {
	data, err := recorder.Encode(a.Envelope)
	if err == nil {
		_, err = c.logClient.Append(a.Stream, data)
	}
	if err != nil {
		c.counters.Inc("retry-append")
		c.log.Warn().Str("event", "append-failed").Str("stream", string(a.Stream)).Err(err).Msg("")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mover.AppendAnswered(a.Envelope.ID, time.Now(), err)
}

type wireWant struct {
	Versions []string `json:"versions"`
	Role     string   `json:"role,omitempty"`
}

type wireOrder struct {
	Fence   int64    `json:"fence"`
	OrderID string   `json:"order_id"`
	Want    wireWant `json:"want"`
}

var (
	errLeaseTooShort = errors.New("the lease does not outlast the order")
	errStaleFence    = errors.New("the endpoint has seen a newer fence")
)

// sendOrder sends one order; it checks the lease immediately before sending, as it may have expired since the mover issued the order.
func (c *Controller) sendOrder(o mover.Order) {
	address, known := c.address(o.Endpoint)
	if !known {
		return
	}
	w := wireOrder{Fence: int64(o.Fence), OrderID: uuid.NewString()}
	for _, v := range o.Want {
		w.Want.Versions = append(w.Want.Versions, string(v))
	}
	body, err := json.Marshal(w)
	if err == nil {
		err = c.post(address, "/v1/orders", body, func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.mover.MaySend(o, time.Now())
		})
	}
	switch {
	case err == nil:
		c.counters.Inc("orders-taken")
	case errors.Is(err, errLeaseTooShort):
		c.counters.Inc("orders-withheld")
	case errors.Is(err, errStaleFence):
		c.counters.Inc("orders-refused-stale-fence")
	default:
		c.counters.Inc("retry-order")
	}
	c.log.Info().Str("event", "order").Str("endpoint", string(o.Endpoint)).Int64("fence", int64(o.Fence)).
		Strs("want", w.Want.Versions).AnErr("error", err).Msg("")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mover.OrderAnswered(o, time.Now(), err)
}

func (c *Controller) address(id dotterelpulley.EndpointID) (dotterelpulley.Address, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hostList.Hosts {
		if h.Endpoint().ID == id && h.Kind != lister.KindEntry {
			return h.Address, true
		}
	}
	return "", false
}

func (c *Controller) post(address dotterelpulley.Address, path string, body []byte, maySend func() bool) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + string(address) + path)
	req.Header.SetMethod(http.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBody(body)
	if !maySend() {
		return errLeaseTooShort
	}
	if err := c.http.DoTimeout(req, resp, c.settings.OrderTimeout); err != nil {
		return fmt.Errorf("post %q to %q: %w", path, address, err)
	}
	switch resp.StatusCode() {
	case http.StatusOK, http.StatusAccepted, http.StatusNoContent:
		return nil
	case http.StatusConflict:
		return errStaleFence
	}
	return fmt.Errorf("post %q to %q: status %d", path, address, resp.StatusCode())
}

// broadcastBadVersion reports a bad version to every entry host.
func (c *Controller) broadcastBadVersion(a mover.BroadcastBadVersion) {
	c.log.Warn().Str("event", "bad-version").Str("move", a.Bad.Move.String()).Str("reason", a.Bad.Reason).Msg("")
	data, err := recorder.Encode(recorder.Envelope{ID: recorder.RecordID(uuid.NewString()), Body: a.Bad})
	if err != nil {
		c.log.Error().Str("event", "bad-version-not-encoded").Err(err).Msg("")
		return
	}
	c.mu.Lock()
	c.follower.AddBadVersion(a.Bad)
	hosts := c.hostList.Hosts
	c.mu.Unlock()
	for _, h := range hosts {
		if h.Kind != lister.KindEntry {
			continue
		}
		c.background.Go(func() {
			if _, err := c.peers.call(c.ctx, http.MethodPost, h.PeerAddress, "/v1/bad-versions", data); err != nil {
				c.counters.Inc("bad-version-not-told")
			}
		})
	}
}
