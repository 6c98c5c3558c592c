package emulator

import (
	"fmt"
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/announcer"
	"github.com/dotterelpulley/dotterelpulley/apportioner"
	"github.com/dotterelpulley/dotterelpulley/pathfinder"
	"github.com/dotterelpulley/dotterelpulley/rationer"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

// limitedHost is a host of a LimitedFleet: its decisions are those of the real packages.
type limitedHost struct {
	run         *limitedRun
	host        announcer.Host
	announcer   announcer.Announcer
	identity    announcer.Identity
	scheduler   scheduler.Scheduler
	apportioner apportioner.Apportioner
	rationer    rationer.Rationer
	pathfinder  pathfinder.Pathfinder
	requests    map[scheduler.ID]*limitedRequest
	toldAt      map[apportioner.Key]time.Duration
	// starts counts the host's starts; up and frozen are its state, cut means that it reaches no other host.
	starts int
	up     bool
	frozen bool
	cut    bool
	// unreachable means that the host reaches no endpoint, since unreachableSince.
	unreachable      bool
	unreachableSince time.Duration
	// disturbed means that a fault excuses the host.
	disturbed bool
	// deferred is what happens once the host is no longer frozen.
	deferred []func()
}

func (r *limitedRun) addHost(index int) {
	id := dotterelpulley.HostID(fmt.Sprintf("host-%03d", index))
	h := &limitedHost{run: r, host: announcer.Host{
		ID: id, Zone: dotterelpulley.ZoneID(fmt.Sprintf("zone-%d", index%3)), PeerAddress: dotterelpulley.Address(id), CallerAddress: dotterelpulley.Address(id),
	}}
	r.hosts = append(r.hosts, h)
	r.byAddress[h.host.PeerAddress] = h
	h.start()
}

// start starts the host without a memory of earlier starts; the other hosts' addresses are known from the store.
func (h *limitedHost) start() {
	r := h.run
	seed := r.random.Uint64()
	h.starts++
	h.announcer = announcer.Announcer{Self: h.host, Seed: seed}
	h.identity = announcer.Identity{Start: seed, Incarnation: uint64(h.starts)}
	h.scheduler = scheduler.Scheduler{Seed: seed, Zone: h.host.Zone}
	h.apportioner = apportioner.Apportioner{Self: h.host.ID}
	h.pathfinder = pathfinder.Pathfinder{Seed: seed}
	h.rationer = rationer.Rationer{Window: limitWindow, HostCount: r.Hosts}
	h.requests, h.toldAt = map[scheduler.ID]*limitedRequest{}, map[apportioner.Key]time.Duration{}
	h.up = true
	for i := range r.Hosts {
		if id := fmt.Sprintf("host-%03d", i); id != string(h.host.ID) {
			h.announcer.AddHost(r.clock.now(), announcer.Host{ID: dotterelpulley.HostID(id), PeerAddress: dotterelpulley.Address(id)})
		}
	}
	h.setEndpoints()
	start := h.starts
	h.every(start, time.Duration(r.random.Int64N(int64(100*time.Millisecond))), h.announcer.Interval, h.announce)
	h.every(start, 0, func() time.Duration { return announcer.ProbeInterval }, h.probe)
	h.every(start, 0, func() time.Duration { return limitedDecideInterval }, h.decide)
	h.every(start, 0, func() time.Duration { return limitedLinkInterval }, h.checkLinks)
}

// every calls the function again and again until the host's start ends.
func (h *limitedHost) every(start int, first time.Duration, interval func() time.Duration, do func()) {
	h.run.clock.schedule(first, func() {
		h.whenAwake(start, func() {
			do()
			h.every(start, interval(), interval, do)
		})
	})
}

// whenAwake calls the function now, or once the host goes on; never if its start has ended.
func (h *limitedHost) whenAwake(start int, do func()) {
	switch {
	case h.starts != start || !h.up:
	case h.frozen:
		h.deferred = append(h.deferred, do)
	default:
		do()
	}
}

// begin begins a fault and schedules its end.
func (r *limitedRun) begin(f HostFault) {
	h := r.hosts[f.Host]
	h.disturbed = true
	end := func() {}
	switch f.Kind {
	case Kill:
		h.up = false
		end = h.start
	case Freeze:
		h.frozen = true
		end = func() {
			h.frozen = false
			deferred := h.deferred
			h.deferred = nil
			for _, do := range deferred {
				do()
			}
		}
	case CutFromHosts:
		h.cut = true
		end = func() { h.cut = false }
	case CutFromEndpoints:
		h.unreachable, h.unreachableSince = true, r.clock.elapsed
		end = func() { h.unreachable = false }
	}
	r.clock.schedule(f.Duration, end)
	r.clock.schedule(f.Duration+stabilityWindow, func() { h.disturbed = false })
}

// send delivers a message to another host, unless one of them is cut off or down.
func (h *limitedHost) send(to dotterelpulley.Address, m announcer.Message) {
	target, ok := h.run.byAddress[to]
	if !ok || h.cut || target.cut || !target.up {
		return
	}
	start := target.starts
	h.run.clock.schedule(networkDelay, func() {
		target.whenAwake(start, func() { target.receive(h.host.PeerAddress, m) })
	})
}

func (h *limitedHost) announce() {
	now := h.run.clock.now()
	if h.apportioner.Divides() {
		h.refreshHosts()
	}
	h.identity.Sequence++
	d := announcer.Digest{
		Host: h.host, Start: h.identity.Start, Incarnation: h.identity.Incarnation, Sequence: h.identity.Sequence,
		State: announcer.Serving, Updates: h.announcer.NextUpdates(),
	}
	d.Brief = h.announcer.Brief(d.Sequence)
	for _, id := range h.pathfinder.LostServices() {
		d.UnreachableServices = append(d.UnreachableServices, scheduler.ServiceKey(id))
	}
	for _, l := range h.scheduler.Loads() {
		d.Loads = append(d.Loads, announcer.Load{Key: l.Key, Running: l.Running})
	}
	report := h.apportioner.Report(now)
	for _, l := range report.Limits {
		d.Limits = append(d.Limits, announcer.EndpointLimit{Instance: uint32(l.Key), PerSecond: float64(l.PerSecond), Lifted: l.Lifted, Age: l.Age})
	}
	for _, b := range report.Brittle {
		d.BrittleServices = append(d.BrittleServices, announcer.BrittleService{Service: uint32(b.Service), Age: b.Age})
	}
	if h.run.Share == ShareByReports {
		report := h.rationer.Report(now)
		d.Counted = report.Counted
		d.Usage = map[dotterelpulley.OrganisationID]float64{}
		for id, usage := range report.Usage {
			d.Usage[id] = float64(usage)
		}
	}
	for _, to := range h.announcer.Targets(now, d) {
		h.send(to, d)
	}
}

func (h *limitedHost) probe() {
	for _, m := range h.announcer.Probe(h.run.clock.now()) {
		h.send(m.To, m.Message)
	}
}

func (h *limitedHost) receive(from dotterelpulley.Address, m announcer.Message) {
	now := h.run.clock.now()
	switch m := m.(type) {
	case announcer.Digest:
		h.receiveDigest(now, m)
	case announcer.Probe:
		if m.Target != h.host.PeerAddress {
			h.send(m.Target, m)
			return
		}
		h.send(from, announcer.Ack{Number: m.Number, Origin: m.Origin, Host: h.host.ID, Incarnation: h.identity.Incarnation})
	case announcer.Ack:
		if m.Origin != h.host.PeerAddress {
			h.send(m.Origin, m)
			return
		}
		h.announcer.ReceiveAck(now, m)
	case announcer.Change, announcer.Correction, announcer.HistoryRequest, announcer.UsageHistory:
	}
}

func (h *limitedHost) receiveDigest(now time.Time, d announcer.Digest) {
	if fresh, _ := h.announcer.Receive(now, d); !fresh {
		return
	}
	if h.announcer.ReceiveUpdates(now, d.Updates, h.identity) {
		h.identity.Refute()
	}
	if len(h.run.Brittle) > 0 {
		var loads scheduler.HostReport
		for _, l := range d.Loads {
			loads.Loads = append(loads.Loads, scheduler.Load{Key: l.Key, Running: l.Running})
		}
		h.scheduler.SetHostReport(now, d.ID, loads)
	}
	if h.run.Share == ShareByReports {
		report := rationer.Report{Counted: d.Counted, Usage: map[dotterelpulley.OrganisationID]rationer.Amount{}}
		for id, u := range d.Usage {
			report.Usage[id] = rationer.Amount(u)
		}
		h.rationer.RecordPeerUsage(now, d.ID, d.Start, report)
	}
	var report apportioner.Report
	for _, l := range d.Limits {
		report.Limits = append(report.Limits, apportioner.Limit{Key: apportioner.Key(l.Instance), PerSecond: apportioner.Rate(l.PerSecond), Lifted: l.Lifted, Age: l.Age})
	}
	for _, b := range d.BrittleServices {
		report.Brittle = append(report.Brittle, apportioner.Brittle{Service: apportioner.ServiceKey(b.Service), Age: b.Age})
	}
	if h.apportioner.Receive(now, report) {
		h.refreshHosts()
		h.setAllowances()
	}
	h.decide()
}

// refreshHosts updates the hosts that take part in the division.
func (h *limitedHost) refreshHosts() {
	now := h.run.clock.now()
	var hosts []dotterelpulley.HostID
	if !h.pathfinder.Lost(limitedService) {
		hosts = append(hosts, h.host.ID)
	}
	for _, m := range h.announcer.ActiveMembers(now) {
		if len(m.UnreachableServices) == 0 {
			hosts = append(hosts, m.ID)
		}
	}
	slices.Sort(hosts)
	changed := h.apportioner.SetHosts(hosts)
	if h.apportioner.Prune(now) || changed && h.apportioner.Divides() {
		h.setAllowances()
	}
}

func (h *limitedHost) setEndpoints() {
	var endpoints []scheduler.Endpoint
	for _, e := range h.run.endpoints {
		endpoints = append(endpoints, e.Endpoint)
	}
	h.scheduler.SetEndpoints(limitedService, endpoints)
	h.setAllowances()
}

// setAllowances passes the host's shares to its scheduler.
func (h *limitedHost) setAllowances() {
	now := h.run.clock.now()
	allowances := map[dotterelpulley.EndpointID]scheduler.Allowance{}
	for _, e := range h.run.endpoints {
		allowances[e.ID] = h.allowance(now, e)
	}
	h.scheduler.SetAllowances(now, limitedService, allowances)
}

func (h *limitedHost) allowance(now time.Time, e *limitedEndpoint) scheduler.Allowance {
	var a scheduler.Allowance
	limit, limited := h.apportioner.Limit(e.key)
	switch h.run.Share {
	case ShareNothing:
		return a
	case ShareAmongFew:
		share, ok := h.apportioner.Share(e.key)
		a.RateLimited, a.PerSecond = ok, float64(share)
		if h.apportioner.IsBrittle(now, apportioner.ServiceKey(scheduler.ServiceKey(limitedService))) {
			a.PlacesLimited, a.Places = true, h.apportioner.Places(e.key, e.Slots)
		}
	case ShareEqually:
		a.RateLimited, a.PerSecond = limited, float64(limit)/float64(h.run.Hosts)
	case ShareByReports:
		id := dotterelpulley.OrganisationID(e.ID)
		if !limited {
			return a
		}
		h.rationer.SetCap(now, id, rationer.Cap{Rate: rationer.Amount(limit), Burst: 1})
		remaining, ok := h.rationer.Remaining(now, id)
		a.RateLimited = ok && remaining < 1
	}
	return a
}

// take queues a request of a caller, or forwards it while the links to the endpoints are lost.
func (h *limitedHost) take(q *limitedRequest) {
	if h.pathfinder.Lost(limitedService) {
		if q.from != nil {
			q.sendBack()
			return
		}
		h.forward(q)
		return
	}
	now := h.run.clock.now()
	h.requests[q.id] = q
	h.scheduler.Offer(scheduler.Work{ID: q.id, Service: limitedService, Arrived: now, Objective: h.run.Objective, Deadline: now.Add(4 * h.run.Objective)})
	h.decide()
}

// forward sends a request through a host that reaches the endpoints.
func (h *limitedHost) forward(q *limitedRequest) {
	var helpers []pathfinder.Helper
	for _, m := range h.announcer.ActiveMembers(h.run.clock.now()) {
		if len(m.UnreachableServices) == 0 {
			helpers = append(helpers, pathfinder.Helper{ID: m.ID, Address: m.PeerAddress})
		}
	}
	helper, ok := h.pathfinder.Choose(helpers, q.tried)
	if !ok || len(q.tried) >= maxForwards {
		q.end(false)
		return
	}
	if q.tried == nil {
		q.tried = map[dotterelpulley.HostID]bool{}
	}
	q.tried[helper.ID] = true
	q.from, q.fromStart = h, h.starts
	q.host = h.run.byAddress[helper.Address]
	q.start = q.host.starts
	if h.cut || q.host.cut || !q.host.up {
		q.sendBack()
		return
	}
	h.run.clock.schedule(networkDelay, func() { q.host.whenAwake(q.start, func() { q.host.take(q) }) })
}

// sendBack returns a request that hasn't run to the host that has its caller, which forwards it to another one.
func (q *limitedRequest) sendBack() {
	from := q.from
	if from.starts != q.fromStart {
		q.end(false)
		return
	}
	from.pathfinder.Done(q.host.host.ID)
	q.host, q.start, q.from = from, from.starts, nil
	from.run.clock.schedule(networkDelay, func() { from.whenAwake(q.start, func() { from.take(q) }) })
}

// end counts the request's end.
func (q *limitedRequest) end(served bool) {
	result := &q.host.run.result
	if q.from != nil && q.from.starts == q.fromStart {
		q.from.pathfinder.Done(q.host.host.ID)
	}
	if !served {
		result.Refused++
		return
	}
	result.Served++
	if q.counted != nil {
		q.counted.Served++
	}
}

// unreached handles a request whose connection is refused: others are tried, and show whether the links are lost.
func (q *limitedRequest) unreached(e *limitedEndpoint) {
	h := q.host
	now := h.run.clock.now()
	h.scheduler.Ended(now, q.id, scheduler.ResultCancelled)
	delete(h.requests, q.id)
	var addresses []dotterelpulley.Address
	for _, other := range h.run.endpoints {
		addresses = append(addresses, other.Address)
	}
	first, more := h.pathfinder.Candidates(addresses, e.Address)
	if h.unreachable {
		first = append(first, more...)
	}
	h.probed(first)
	h.take(q)
}

// probed records that connections to the addresses were tried.
func (h *limitedHost) probed(addresses []dotterelpulley.Address) {
	made := len(addresses)
	if h.unreachable {
		made = 0
	}
	if h.pathfinder.Probed(h.run.clock.now(), limitedService, len(addresses), made) {
		h.scheduler.Unblock(limitedService)
		h.announce()
	}
}

// checkLinks probes links that are lost.
func (h *limitedHost) checkLinks() {
	if h.pathfinder.Lost(limitedService) {
		h.probed([]dotterelpulley.Address{h.run.endpoints[0].Address})
	}
}

// decide places the requests that wait on the host.
func (h *limitedHost) decide() {
	if !h.up || h.frozen {
		return
	}
	if h.run.Share == ShareByReports {
		h.setAllowances()
	}
	now := h.run.clock.now()
	for _, d := range h.scheduler.Decide(now) {
		switch d := d.(type) {
		case scheduler.Placed:
			q, e := h.requests[d.ID], h.run.byID[d.Endpoint.ID]
			if h.run.Share == ShareByReports {
				h.rationer.Admit(now, dotterelpulley.OrganisationID(e.ID), 1, 0)
			}
			h.run.clock.schedule(networkDelay, func() { h.run.receive(q, e) })
		case scheduler.Refused:
			q := h.requests[d.ID]
			delete(h.requests, d.ID)
			q.end(false)
		}
	}
}

// answer delivers the answer of an endpoint to the request's host, with what the endpoint says of itself.
func (q *limitedRequest) answer(e *limitedEndpoint, result scheduler.Result) {
	h := q.host
	limit, brittle := e.limit, h.run.brittle()
	h.run.clock.schedule(networkDelay, func() {
		h.whenAwake(q.start, func() {
			now := h.run.clock.now()
			h.scheduler.Ended(now, q.id, result)
			delete(h.requests, q.id)
			q.end(result == scheduler.ResultCompleted)
			if result != scheduler.ResultDead {
				h.heed(now, e, limit, brittle)
			}
			h.decide()
		})
	})
}

// heed records what an answer says of its endpoint, and tells the other hosts at once if that is news.
func (h *limitedHost) heed(now time.Time, e *limitedEndpoint, limit LimitChange, brittle bool) {
	news := false
	if limit.Lifted {
		news = h.apportioner.ObserveNoLimit(now, e.key)
	} else {
		news = h.apportioner.ObserveLimit(now, e.key, apportioner.Rate(limit.PerSecond))
		if h.toldAt[e.key] == 0 {
			h.toldAt[e.key] = h.run.clock.elapsed
		}
	}
	if brittle {
		news = h.apportioner.ObserveBrittle(now, apportioner.ServiceKey(scheduler.ServiceKey(limitedService))) || news
	}
	if news {
		h.refreshHosts()
		h.setAllowances()
		h.announce()
	}
}
