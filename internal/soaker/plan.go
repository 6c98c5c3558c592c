package soaker

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/router"
)

const (
	siteHost     = "soak.example"
	routeTimeout = 6 * time.Second
	objective    = time.Second
	pause        = 500 * time.Millisecond
	plainService = dotterelpulley.ServiceID("plain")
	modelService = dotterelpulley.ServiceID("model")
)

// route is a route of the soak's site with what the checks need to know.
type route struct {
	router.Route
	repeatable bool
	stream     bool
	service    dotterelpulley.ServiceID
}

func plan(id dotterelpulley.RouteID, kind router.Kind, service dotterelpulley.ServiceID, attempts int, resumable bool) route {
	r := router.Route{
		ID: id, Host: siteHost, Prefix: "/" + string(id) + "/", Kind: kind, Timeout: routeTimeout, Objective: objective,
		MaxAttempts: attempts, Resumable: resumable, Shares: []router.Share{{Service: service, Weight: 1}},
	}
	if kind == router.Streaming {
		r.MaxEventInterval = pause
	}
	return route{Route: r, repeatable: r.Repeatable(), stream: kind == router.Streaming, service: service}
}

// routes are all routes.
var routes = []route{
	plan("booking", router.NonIdempotent, plainService, 1, false),
	plan("lookup", router.Idempotent, plainService, 2, false),
	plan("letter", router.Streaming, modelService, 1, false),
	plan("advice", router.Streaming, modelService, 2, true),
}

func routeOf(id dotterelpulley.RouteID) route {
	for _, r := range routes {
		if r.ID == id {
			return r
		}
	}
	return route{}
}

// usageCap is a cap with what the users' bounds allow beyond it.
type usageCap struct {
	router.Organisation
	slack float64
}

// caps are the organisations with a cap, in requests; holders says who holds each key.
var (
	caps = map[dotterelpulley.OrganisationID]usageCap{
		"narrow": {Organisation: router.Organisation{ID: "narrow", Keys: []router.CallerKey{"key-narrow"}, Rate: 6, Burst: 6}, slack: 12},
	}
	holders = map[router.CallerKey]dotterelpulley.OrganisationID{
		"key-wide": wideOrganisation, revocable: wideOrganisation, "key-narrow": "narrow",
	}
)

const (
	// revocable is the key that configurations take away, unknown one that none holds.
	revocable = router.CallerKey("key-wide-2")
	unknown   = router.CallerKey("key-unknown")
)

// lastingKey reports whether requests with the key are owed an answer at all times.
func lastingKey(k router.CallerKey) bool {
	return k == "key-wide"
}

// configuration returns a version, with or without the revocable key; the name of an organisation tells endpoints by
// which version a request was handled.
func configuration(version int64, revoked bool) router.Configuration {
	c := router.Configuration{Version: version, BodyBytes: 1 << 16}
	for _, r := range routes {
		c.Routes = append(c.Routes, r.Route)
	}
	for _, id := range []dotterelpulley.ServiceID{plainService, modelService} {
		c.Services = append(c.Services, router.Service{ID: id, MaxConnections: 200})
	}
	wide := router.Organisation{ID: versioned(wideOrganisation, version), Keys: []router.CallerKey{"key-wide"}}
	if !revoked {
		wide.Keys = append(wide.Keys, revocable)
	}
	c.Organisations = append(c.Organisations, wide, caps["narrow"].Organisation)
	return c
}

const (
	wideOrganisation = dotterelpulley.OrganisationID("wide")
	versionMark      = "-v"
)

func versioned(id dotterelpulley.OrganisationID, version int64) dotterelpulley.OrganisationID {
	return id + versionMark + dotterelpulley.OrganisationID(strconv.FormatInt(version, 10))
}

// unversioned returns the organisation and the version that its name tells, 0 if none.
func unversioned(id dotterelpulley.OrganisationID) (dotterelpulley.OrganisationID, int64) {
	name, text, _ := strings.Cut(string(id), versionMark)
	version, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return id, 0
	}
	return dotterelpulley.OrganisationID(name), version
}

// bodyOf is the plain answer to an attempt.
func bodyOf(a Attempt) string {
	return "answer to " + string(a)
}

// eventsOf is how many events the answer to an attempt has.
func eventsOf(a Attempt) int {
	return 4 + int(xxhash.Sum64String(string(a))%24)
}
