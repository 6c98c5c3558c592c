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

func (w wireLoad) fromWire(received time.Time) report {
	return report{
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
	list, err := e.hosts.Fetch()
	if err != nil {
		e.counters.Inc("host-list-failed")
		e.log.Warn().Str("event", "host-list-failed").Err(err).Msg("")
		return
	}
	e.endpoints.setList(list)
	e.listed.Store(true)
	e.claims.listHosts(e.endpoints.entries())
	e.gossip.list(time.Now(), e.endpoints.entries())
	e.queue.refresh(time.Now())
}

func (e *Entry) pollLoads() {
	for _, k := range e.queue.used() {
		e.wait.Go(func() { e.pollLoad(k) })
	}
}

func (e *Entry) pollLoad(k known) {
	load, err := e.fetchLoad(k.Address)
	if err != nil {
		e.counters.Inc("load-report-failed")
		return
	}
	e.endpoints.setReport(k.ID, load)
	e.queue.report(time.Now(), k, load)
	if load.leaving && k.State != dotterelpulley.EndpointLeaving {
		e.gossip.spreadLeaving(time.Now(), k.ID)
	}
}

func (e *Entry) fetchLoad(address dotterelpulley.Address) (report, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + string(address) + "/v1/load")
	if err := e.reports.DoTimeout(req, resp, e.settings.Timeouts.LoadEvery); err != nil {
		return report{}, fmt.Errorf("fetch load of %q: %w", address, err)
	}
	if resp.StatusCode() != http.StatusOK {
		return report{}, fmt.Errorf("fetch load of %q: status %d", address, resp.StatusCode())
	}
	var w wireLoad
	if err := json.Unmarshal(resp.Body(), &w); err != nil {
		return report{}, fmt.Errorf("decode load of %q: %w", address, err)
	}
	return w.fromWire(time.Now()), nil
}
