package entry

import (
	"sync"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/lister"
)

// loadReport is the latest load report of an endpoint.
type loadReport struct {
	running  int
	waiting  int
	slots    int
	versions []string
	rate     float64
	leaving  bool
	measured time.Time
	received time.Time
}

// endpointInfo is an endpoint with its kind and load report.
type endpointInfo struct {
	dotterelpulley.Endpoint
	kind   lister.HostKind
	report loadReport
}

// endpoints holds the host list and the load reports of its endpoints.
type endpoints struct {
	mu      sync.Mutex
	list    lister.List
	reports map[dotterelpulley.EndpointID]loadReport
	changed chan struct{}
}

// setList replaces the host list unless the new one is older.
func (t *endpoints) setList(list lister.List) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if list.Revision < t.list.Revision {
		return
	}
	t.list = list
	t.notify()
}

func (t *endpoints) setReport(id dotterelpulley.EndpointID, report loadReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reports == nil {
		t.reports = map[dotterelpulley.EndpointID]loadReport{}
	}
	t.reports[id] = report
	t.notify()
}

func (t *endpoints) notify() {
	if t.changed != nil {
		close(t.changed)
	}
	t.changed = make(chan struct{})
}

// all returns every endpoint of the host list.
func (t *endpoints) all() []endpointInfo {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []endpointInfo
	for _, h := range t.list.Hosts {
		if h.Kind == lister.KindEntry {
			continue
		}
		endpoint := endpointInfo{Endpoint: h.Endpoint(), kind: h.Kind, report: t.reports[dotterelpulley.EndpointID(h.ID)]}
		for _, v := range endpoint.report.versions {
			endpoint.Versions = append(endpoint.Versions, dotterelpulley.VersionID(v))
		}
		if endpoint.report.leaving {
			endpoint.State = dotterelpulley.EndpointLeaving
		}
		found = append(found, endpoint)
	}
	return found
}

// entryHosts returns the entry hosts of the host list.
func (t *endpoints) entryHosts() []lister.Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []lister.Host
	for _, h := range t.list.Hosts {
		if h.Kind == lister.KindEntry {
			found = append(found, h)
		}
	}
	return found
}
