package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelpulley/dotterelpulley"
)

type wireLoad struct {
	Running         int       `json:"running"`
	Waiting         int       `json:"waiting"`
	TokensPerSecond float64   `json:"tokens_per_second"`
	Slots           int       `json:"slots"`
	Versions        []string  `json:"versions"`
	Role            string    `json:"role"`
	MeasuredAt      time.Time `json:"measured_at"`
	Leaving         bool      `json:"leaving"`
}

func (w wireLoad) fromWire(received time.Time) loadReport {
	return loadReport{
		running:  w.Running,
		waiting:  w.Waiting,
		slots:    w.Slots,
		versions: w.Versions,
		rate:     w.TokensPerSecond,
		leaving:  w.Leaving,
		measured: w.MeasuredAt,
		received: received,
	}
}

func (e *Entry) pollHosts() {
	list, err := e.hostListClient.Fetch()
	if err != nil {
		e.counters.Inc("host-list-failed")
		e.log.Warn().Str("event", "host-list-failed").Err(err).Msg("")
		return
	}
	e.endpoints.setList(list)
	e.hostListFetched.Store(true)
	e.claims.setListedHosts(e.endpoints.entryHosts())
	e.gossip.setListed(time.Now(), e.endpoints.entryHosts())
	e.queue.refresh(time.Now())
}

func (e *Entry) pollLoads() {
	for _, endpoint := range e.queue.endpointsInUse() {
		e.tasks.Go(func() { e.pollLoad(endpoint) })
	}
}

func (e *Entry) pollLoad(endpoint endpointInfo) {
	load, err := e.fetchLoad(endpoint.Address)
	if err != nil {
		e.counters.Inc("load-report-failed")
		return
	}
	e.endpoints.setReport(endpoint.ID, load)
	e.queue.applyReport(time.Now(), endpoint, load)
	if load.leaving && endpoint.State != dotterelpulley.EndpointLeaving {
		e.gossip.broadcastLeaving(time.Now(), endpoint.ID)
	}
}

// maxReportBytes limits what an endpoint reports of itself at once, its load or its cache events.
const maxReportBytes = 8 << 20

func (e *Entry) fetchLoad(address dotterelpulley.Address) (loadReport, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + string(address) + "/v1/load")
	if err := e.pollClient.DoTimeout(req, resp, e.settings.Timeouts.LoadEvery); err != nil {
		return loadReport{}, fmt.Errorf("fetch load of %q: %w", address, err)
	}
	if resp.StatusCode() != http.StatusOK {
		return loadReport{}, fmt.Errorf("fetch load of %q: status %d", address, resp.StatusCode())
	}
	var w wireLoad
	if err := json.Unmarshal(resp.Body(), &w); err != nil {
		return loadReport{}, fmt.Errorf("decode load of %q: %w", address, err)
	}
	return w.fromWire(time.Now()), nil
}
