package entry

import (
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/lister"
	"github.com/dotterelpulley/dotterelpulley/picker"
)

// refresh updates the queue to the endpoints and entry hosts of the current host list.
func (q *queue) refresh(now time.Time) {
	all := q.endpoints.all()
	position := q.positionAmong(q.endpoints.entryHosts())
	q.mu.Lock()
	defer q.mu.Unlock()
	q.init()
	q.position = position
	previous := q.inUse
	q.inUse = map[dotterelpulley.EndpointID]endpointInfo{}
	q.sharers = map[dotterelpulley.ServiceID]int{}
	previousKinds := q.serviceKinds
	q.serviceKinds = map[dotterelpulley.ServiceID]lister.HostKind{}
	byService := map[dotterelpulley.ServiceID][]dotterelpulley.Endpoint{}
	for _, endpoint := range all {
		q.serviceKinds[endpoint.Service] = endpoint.kind
		q.inUse[endpoint.ID] = endpoint
		byService[endpoint.Service] = append(byService[endpoint.Service], endpoint.Endpoint)
	}
	for service := range previousKinds {
		if _, listed := q.serviceKinds[service]; !listed {
			q.picker.SetEndpoints(service, nil)
		}
	}
	for service := range q.serviceKinds {
		q.useSubset(service, byService[service])
		q.grantWaiting(now, service)
	}
	q.forgetUnused(previous)
}

// forgetUnused drops the state of endpoints that this host no longer uses.
func (q *queue) forgetUnused(previous map[dotterelpulley.EndpointID]endpointInfo) {
	for id := range previous {
		if _, used := q.inUse[id]; !used {
			q.limiter.Forget(id)
			delete(q.cacheOffsets, id)
		}
	}
}

// useSubset gives the picker this host's subset of the service's endpoints.
func (q *queue) useSubset(service dotterelpulley.ServiceID, all []dotterelpulley.Endpoint) {
	subset := picker.Subset(all, q.position, 0)
	if len(subset) < len(all) {
		used := map[dotterelpulley.EndpointID]bool{}
		for _, e := range subset {
			used[e.ID] = true
		}
		for _, e := range all {
			if !used[e.ID] {
				delete(q.inUse, e.ID)
			}
		}
	}
	q.sharers[service] = q.sharerCount(len(subset), len(all))
	q.picker.SetHostCount(service, q.sharers[service])
	q.picker.SetEndpoints(service, slices.DeleteFunc(slices.Clone(subset), func(e dotterelpulley.Endpoint) bool {
		return q.serviceKinds[service] == lister.KindEngine && len(e.Versions) == 0
	}))
}

// sharerCount returns the number of hosts that share an endpoint when each host uses a subset of all endpoints.
func (q *queue) sharerCount(subset, all int) int {
	if all == 0 {
		return 1
	}
	return max(1, (q.position.Hosts*subset+all-1)/all)
}

// positionAmong returns this host's rank among the live entry hosts and their number.
func (q *queue) positionAmong(hosts []lister.Host) picker.HostPosition {
	position := picker.HostPosition{Hosts: 1}
	for _, h := range hosts {
		if h.State != dotterelpulley.EndpointLive || h.ID == q.settings.Host {
			continue
		}
		position.Hosts++
		if h.ID < q.settings.Host {
			position.Rank++
		}
	}
	return position
}

// slots returns the number of concurrent requests of an endpoint with the given load report.
func (q *queue) slots(report loadReport) int {
	if report.slots > 0 {
		return report.slots
	}
	return q.settings.Limits.Slots
}

// endpointsInUse returns the endpoints whose load reports this host polls.
func (q *queue) endpointsInUse() []endpointInfo {
	q.mu.Lock()
	defer q.mu.Unlock()
	all := make([]endpointInfo, 0, len(q.inUse))
	for _, endpoint := range q.inUse {
		all = append(all, endpoint)
	}
	return all
}

// applyReport applies an endpoint's load report.
func (q *queue) applyReport(now time.Time, endpoint endpointInfo, report loadReport) {
	if endpoint.report.leaving != report.leaving || !slices.Equal(endpoint.report.versions, report.versions) {
		q.refresh(now)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.SetSlots(endpoint.ID, q.slots(report))
	q.picker.SetLimit(endpoint.ID, q.limiter.Limit(endpoint.ID))
	q.picker.Report(now, endpoint.ID, picker.Report{Running: report.running, Waiting: report.waiting, MeasuredAt: report.measured})
	q.grantWaiting(now, endpoint.Service)
}

// suspect stops new requests to an endpoint that another host reported as leaving.
func (q *queue) suspect(id dotterelpulley.EndpointID, until time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.init()
	q.picker.Suspect(id, until)
}

// load returns the highest load among services: active and waiting requests relative to this host's share of capacity.
func (q *queue) load() float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.init()
	highest := 0.0
	for service := range q.serviceKinds {
		highest = max(highest, q.admitter.Load(service))
	}
	return highest
}
