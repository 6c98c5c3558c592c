package entry

import (
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/lister"
	"github.com/dotterelpulley/dotterelpulley/picker"
)

// refresh takes over the endpoints and entry hosts that the host list gives.
func (q *queue) refresh(now time.Time) {
	all := q.endpoints.all()
	place := q.placeAmong(q.endpoints.entries())
	q.mu.Lock()
	defer q.mu.Unlock()
	q.init()
	q.place = place
	left := q.known
	q.known = map[dotterelpulley.EndpointID]known{}
	q.sharers = map[dotterelpulley.ServiceID]int{}
	before := q.kinds
	q.kinds = map[dotterelpulley.ServiceID]lister.HostKind{}
	byService := map[dotterelpulley.ServiceID][]dotterelpulley.Endpoint{}
	for _, k := range all {
		q.kinds[k.Service] = k.kind
		q.known[k.ID] = k
		byService[k.Service] = append(byService[k.Service], k.Endpoint)
	}
	for service := range before {
		if _, still := q.kinds[service]; !still {
			q.picker.SetEndpoints(service, nil)
		}
	}
	for service := range q.kinds {
		q.usePart(service, byService[service])
		q.run(now, service)
	}
	q.forget(left)
}

// forget drops what is known of endpoints that this host uses no longer.
func (q *queue) forget(left map[dotterelpulley.EndpointID]known) {
	for id := range left {
		if _, used := q.known[id]; !used {
			q.limiter.Forget(id)
			delete(q.caches, id)
		}
	}
}

// usePart hands the picker this host's part of the service's endpoints.
func (q *queue) usePart(service dotterelpulley.ServiceID, all []dotterelpulley.Endpoint) {
	part := picker.Subset(all, q.place, 0)
	if len(part) < len(all) {
		used := map[dotterelpulley.EndpointID]bool{}
		for _, e := range part {
			used[e.ID] = true
		}
		for _, e := range all {
			if !used[e.ID] {
				delete(q.known, e.ID)
			}
		}
	}
	q.sharers[service] = q.sharing(len(part), len(all))
	q.picker.SetHostCount(service, q.sharers[service])
	q.picker.SetEndpoints(service, slices.DeleteFunc(slices.Clone(part), func(e dotterelpulley.Endpoint) bool {
		return q.kinds[service] == lister.KindEngine && len(e.Versions) == 0
	}))
}

// sharing returns how many hosts use an endpoint when each uses a part of all.
func (q *queue) sharing(part, all int) int {
	if all == 0 {
		return 1
	}
	return max(1, (q.place.Hosts*part+all-1)/all)
}

// placeAmong returns this host's place among the live entry hosts.
func (q *queue) placeAmong(hosts []lister.Host) picker.HostPosition {
	place := picker.HostPosition{Hosts: 1}
	for _, h := range hosts {
		if h.State != dotterelpulley.EndpointLive || h.ID == q.settings.Host {
			continue
		}
		place.Hosts++
		if h.ID < q.settings.Host {
			place.Rank++
		}
	}
	return place
}

// slots returns how many requests an endpoint with the report takes at once.
func (q *queue) slots(r report) int {
	if r.slots > 0 {
		return r.slots
	}
	return q.settings.Limits.Slots
}

// used returns the endpoints whose reports this host reads.
func (q *queue) used() []known {
	q.mu.Lock()
	defer q.mu.Unlock()
	all := make([]known, 0, len(q.known))
	for _, k := range q.known {
		all = append(all, k)
	}
	return all
}

// report takes an endpoint's load report over.
func (q *queue) report(now time.Time, before known, r report) {
	if before.report.leaving != r.leaving || !slices.Equal(before.report.versions, r.versions) {
		q.refresh(now)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.SetSlots(before.ID, q.slots(r))
	q.picker.SetLimit(before.ID, q.limiter.Limit(before.ID))
	q.picker.Report(now, before.ID, picker.Report{Running: r.running, Waiting: r.waiting, MeasuredAt: r.measured})
	q.run(now, before.Service)
}

// suspect keeps new work from an endpoint that another host knows to leave.
func (q *queue) suspect(id dotterelpulley.EndpointID, until time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.init()
	q.picker.Suspect(id, until)
}

// load returns the highest share of this host's part of a service that runs and waits.
func (q *queue) load() float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.init()
	highest := 0.0
	for service := range q.kinds {
		highest = max(highest, q.admitter.Load(service))
	}
	return highest
}
