package controller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/assessor"
	"github.com/dotterelpulley/dotterelpulley/lister"
	"github.com/dotterelpulley/dotterelpulley/mover"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

// poll fetches the host list and, while this host leads, the endpoints' states and the entry hosts' evidence.
func (c *Controller) poll() {
	list, err := c.hostListClient.Fetch()
	c.mu.Lock()
	if err == nil && list.Revision >= c.hostList.Revision {
		c.hostList = list
	}
	hosts := c.hostList.Hosts
	leading := c.mover.Leading(c.view())
	c.mu.Unlock()
	if err != nil {
		c.counters.Inc("retry-host-list")
	}
	if !leading {
		return
	}
	due := c.evidenceDue(time.Now())
	var polls conc.WaitGroup
	for _, h := range hosts {
		switch h.Kind {
		case lister.KindEngine:
			polls.Go(func() { c.pollEndpoint(h) })
		case lister.KindEntry:
			if due {
				polls.Go(func() { c.pollEvidence(h) })
			}
		case lister.KindPlain:
		}
	}
	polls.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.assessAll(time.Now())
}

// evidenceDue reports whether a move is running and the last poll of evidence is at least evidenceInterval ago; half a poll interval is tolerated, so that a slightly early poll counts.
func (c *Controller) evidenceDue(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.follower.MovesState()
	running := slices.ContainsFunc(state.Moves, recorder.Move.Running)
	if !running || now.Sub(c.evidenceAt) < evidenceInterval-pollInterval/2 {
		return false
	}
	c.evidenceAt = now
	return true
}

type wireOrderState struct {
	Fence    int64    `json:"fence"`
	OrderID  string   `json:"order_id"`
	State    string   `json:"state"`
	Versions []string `json:"versions"`
	Role     string   `json:"role"`
	Error    string   `json:"error"`
}

func (w wireOrderState) fromWire(h lister.Host) mover.Endpoint {
	e := mover.Endpoint{
		ID:         dotterelpulley.EndpointID(h.ID),
		Service:    h.Service,
		Generation: h.Generation,
		Leaving:    h.State == dotterelpulley.EndpointLeaving,
		Loading:    w.State == "loading",
		Failure:    w.Error,
	}
	for _, v := range w.Versions {
		e.Loaded = append(e.Loaded, dotterelpulley.VersionID(v))
	}
	return e
}

func (c *Controller) pollEndpoint(h lister.Host) {
	data, err := c.get(h.Address, "/v1/orders")
	var w wireOrderState
	if err == nil {
		err = json.Unmarshal(data, &w)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.counters.Inc("retry-endpoint-state")
		delete(c.endpoints, dotterelpulley.EndpointID(h.ID))
		return
	}
	c.endpoints[dotterelpulley.EndpointID(h.ID)] = w.fromWire(h)
}

func (c *Controller) pollEvidence(h lister.Host) {
	data, err := c.peers.call(c.ctx, http.MethodGet, h.PeerAddress, "/v1/evidence", nil)
	if err != nil {
		c.counters.Inc("retry-evidence")
		return
	}
	report, err := assessor.DecodeReport(data)
	if err != nil {
		c.counters.Inc("evidence-damaged")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evidence[h.ID] = report.Evidence
	for _, record := range report.BadVersions {
		env, err := recorder.Decode(record)
		bad, ok := env.Body.(recorder.BadVersion)
		if err == nil && ok && c.follower.AddBadVersion(bad) {
			c.counters.Inc("bad-version-heard")
		}
	}
}

func (c *Controller) get(address dotterelpulley.Address, path string) ([]byte, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + string(address) + path)
	if err := c.http.DoTimeout(req, resp, c.settings.OrderTimeout); err != nil {
		return nil, fmt.Errorf("get %q of %q: %w", path, address, err)
	}
	if resp.StatusCode() != http.StatusOK {
		return nil, fmt.Errorf("get %q of %q: status %d", path, address, resp.StatusCode())
	}
	return append([]byte(nil), resp.Body()...), nil
}
