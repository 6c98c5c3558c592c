package main

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

// poll reads the host list and, while this host leads, the endpoints' states and the entry hosts' evidence.
func (p *process) poll() {
	list, err := p.hosts.Fetch()
	p.mu.Lock()
	if err == nil && list.Revision >= p.list.Revision {
		p.list = list
	}
	hosts := p.list.Hosts
	leading := p.mover.Leading(p.view())
	p.mu.Unlock()
	if err != nil {
		p.counters.Inc("retry-host-list")
	}
	if !leading {
		return
	}
	due := p.evidenceDue(time.Now())
	var polls conc.WaitGroup
	for _, h := range hosts {
		switch h.Kind {
		case lister.KindEngine:
			polls.Go(func() { p.pollEndpoint(h) })
		case lister.KindEntry:
			if due {
				polls.Go(func() { p.pollEvidence(h) })
			}
		case lister.KindPlain:
		}
	}
	polls.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.assessAll(time.Now())
}

// evidenceDue reports whether a move runs and the entry hosts' evidence was not asked for lately.
func (p *process) evidenceDue(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.follower.MovesState()
	running := slices.ContainsFunc(state.Moves, recorder.Move.Running)
	if !running || now.Sub(p.evidenceAt) < evidenceEvery-pollEvery/2 {
		return false
	}
	p.evidenceAt = now
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

func (p *process) pollEndpoint(h lister.Host) {
	data, err := p.get(h.Address, "/v1/orders")
	var w wireOrderState
	if err == nil {
		err = json.Unmarshal(data, &w)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.counters.Inc("retry-endpoint-state")
		delete(p.endpoints, dotterelpulley.EndpointID(h.ID))
		return
	}
	p.endpoints[dotterelpulley.EndpointID(h.ID)] = w.fromWire(h)
}

func (p *process) pollEvidence(h lister.Host) {
	data, err := p.peers.call(p.ctx, http.MethodGet, h.PeerAddress, "/v1/evidence", nil)
	if err != nil {
		p.counters.Inc("retry-evidence")
		return
	}
	report, err := assessor.DecodeReport(data)
	if err != nil {
		p.counters.Inc("evidence-damaged")
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evidence[h.ID] = report.Evidence
	for _, fact := range report.Bad {
		env, err := recorder.Decode(fact)
		bad, ok := env.Body.(recorder.BadVersion)
		if err == nil && ok && p.follower.Mark(bad) {
			p.counters.Inc("bad-version-heard")
		}
	}
}

func (p *process) get(address dotterelpulley.Address, path string) ([]byte, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + string(address) + path)
	if err := p.http.DoTimeout(req, resp, p.settings.OrderTimeout); err != nil {
		return nil, fmt.Errorf("get %q of %q: %w", path, address, err)
	}
	if resp.StatusCode() != http.StatusOK {
		return nil, fmt.Errorf("get %q of %q: status %d", path, address, resp.StatusCode())
	}
	return append([]byte(nil), resp.Body()...), nil
}
