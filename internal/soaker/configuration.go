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
	siteHost         = "soak.example"
	routeTimeout     = 6 * time.Second
	objective        = time.Second
	maxEventInterval = 500 * time.Millisecond
	plainService     = dotterelpulley.ServiceID("plain")
	modelService     = dotterelpulley.ServiceID("model")
	// soleService has one endpoint, which no fault strikes.
	soleService = dotterelpulley.ServiceID("sole")
	// resumableRoute is a route of streams that can go on at another endpoint.
	resumableRoute = dotterelpulley.RouteID("advice")
)

// route is a route of the soak with the properties that the checks need.
type route struct {
	router.Route
	repeatable bool
	stream     bool
	service    dotterelpulley.ServiceID
}

func newRoute(id dotterelpulley.RouteID, kind router.Kind, service dotterelpulley.ServiceID, attempts int, resumable bool) route {
	r := router.Route{
		ID: id, Host: siteHost, Prefix: "/" + string(id) + "/", Kind: kind, Timeout: routeTimeout, Objective: objective,
		MaxAttempts: attempts, Resumable: resumable, Shares: []router.Share{{Service: service, Weight: 1}},
	}
	if kind == router.Streaming {
		r.MaxEventInterval = maxEventInterval
	}
	return route{Route: r, repeatable: r.Repeatable(), stream: kind == router.Streaming, service: service}
}

// routes are all routes of the soak.
var routes = []route{
	newRoute("booking", router.NonIdempotent, plainService, 1, false),
	newRoute("lookup", router.Idempotent, plainService, 2, false),
	newRoute("letter", router.Streaming, modelService, 1, false),
	newRoute(resumableRoute, router.Streaming, modelService, 2, true),
	newRoute("counsel", router.Streaming, soleService, 2, true),
}

// drawnRoutes is the number of routes that callers draw from; one in counselEvery requests for the last of these goes to the
// route after it instead, which leaves the random numbers of a seed as they were.
const (
	drawnRoutes  = 4
	counselEvery = 16
)

// routeOf returns the route of a request for which the caller has drawn the number.
func routeOf(drawn int, a AttemptID) route {
	if drawn == drawnRoutes-1 && xxhash.Sum64String(string(a))%counselEvery == 0 {
		return routes[drawnRoutes]
	}
	return routes[drawn]
}

func routeByID(id dotterelpulley.RouteID) route {
	for _, r := range routes {
		if r.ID == id {
			return r
		}
	}
	return route{}
}

// usageCap is an organisation with a cap, and the requests beyond it that the users' bounds allow.
type usageCap struct {
	router.Organisation
	slack float64
}

// caps holds the organisations with a cap, in requests; keyOrganisations maps each key to its organisation.
var (
	caps = map[dotterelpulley.OrganisationID]usageCap{
		"narrow": {Organisation: router.Organisation{ID: "narrow", Keys: []router.CallerKey{"key-narrow"}, Rate: 6, Burst: 6}, slack: 12},
	}
	keyOrganisations = map[router.CallerKey]dotterelpulley.OrganisationID{
		"key-wide": wideOrganisation, revocableKey: wideOrganisation, "key-narrow": "narrow",
	}
)

const (
	// revocableKey is removed by a later configuration; unknownKey belongs to no organisation.
	revocableKey = router.CallerKey("key-wide-2")
	unknownKey   = router.CallerKey("key-unknown")
)

// neverRevoked reports whether requests with the key must be served at all times.
func neverRevoked(k router.CallerKey) bool {
	return k == "key-wide"
}

// configuration returns a configuration with or without the revocable key; the name of an organisation carries the
// version to endpoints.
func configuration(version int64, revoked bool) router.Configuration {
	c := router.Configuration{Version: version, BodyBytes: 1 << 16}
	for _, r := range routes {
		c.Routes = append(c.Routes, r.Route)
	}
	for _, id := range []dotterelpulley.ServiceID{plainService, modelService, soleService} {
		c.Services = append(c.Services, router.Service{ID: id, MaxConnections: 200})
	}
	wide := router.Organisation{ID: withVersion(wideOrganisation, version), Keys: []router.CallerKey{"key-wide"}}
	if !revoked {
		wide.Keys = append(wide.Keys, revocableKey)
	}
	c.Organisations = append(c.Organisations, wide, caps["narrow"].Organisation)
	return c
}

const (
	wideOrganisation = dotterelpulley.OrganisationID("wide")
	versionSeparator = "-v"
)

func withVersion(id dotterelpulley.OrganisationID, version int64) dotterelpulley.OrganisationID {
	return id + versionSeparator + dotterelpulley.OrganisationID(strconv.FormatInt(version, 10))
}

// splitVersion separates an organisation's name from the version that it carries; the version is 0 if there is none.
func splitVersion(id dotterelpulley.OrganisationID) (dotterelpulley.OrganisationID, int64) {
	name, text, _ := strings.Cut(string(id), versionSeparator)
	version, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return id, 0
	}
	return dotterelpulley.OrganisationID(name), version
}

// expectedBody returns the plain answer to an attempt.
func expectedBody(a AttemptID) string {
	return "answer to " + string(a)
}

// expectedEvents returns the number of events in the answer to an attempt.
func expectedEvents(a AttemptID) int {
	return 4 + int(xxhash.Sum64String(string(a))%24)
}
