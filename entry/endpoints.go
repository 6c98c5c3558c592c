package entry

import (
	"sync"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/lister"
)

// report is what an endpoint last said of its load.
type report struct {
	running  int
	waiting  int
	slots    int
	versions []string
	rate     float64
	leaving  bool
	measured time.Time
	received time.Time
}

// known is an endpoint with what is known of it.
type known struct {
	dotterelpulley.Endpoint
	kind   lister.HostKind
	report report
}

// endpoints holds the host list's endpoints and their load reports.
type endpoints struct {
	mu      sync.Mutex
	list    lister.List
	reports map[dotterelpulley.EndpointID]report
	changed chan struct{}
}

// setList takes a host list that is not older than the one at hand.
func (t *endpoints) setList(list lister.List) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if list.Revision < t.list.Revision {
		return
	}
	t.list = list
	t.wake()
}

func (t *endpoints) setReport(id dotterelpulley.EndpointID, r report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reports == nil {
		t.reports = map[dotterelpulley.EndpointID]report{}
	}
	t.reports[id] = r
	t.wake()
}

func (t *endpoints) wake() {
	if t.changed != nil {
		close(t.changed)
	}
	t.changed = make(chan struct{})
}

// all returns every endpoint that the host list gives.
func (t *endpoints) all() []known {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []known
	for _, h := range t.list.Hosts {
		if h.Kind == lister.KindEntry {
			continue
		}
		k := known{Endpoint: h.Endpoint(), kind: h.Kind, report: t.reports[dotterelpulley.EndpointID(h.ID)]}
		for _, v := range k.report.versions {
			k.Versions = append(k.Versions, dotterelpulley.VersionID(v))
		}
		if k.report.leaving {
			k.State = dotterelpulley.EndpointLeaving
		}
		found = append(found, k)
	}
	return found
}

// entries returns the entry hosts that the host list gives.
func (t *endpoints) entries() []lister.Host {
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
