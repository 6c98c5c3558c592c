package lister

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/slurper"
)

// HostKind is the kind of software that runs on a host.
type HostKind string

// The kinds of host.
const (
	KindEntry  HostKind = "entry"
	KindEngine HostKind = "engine"
	KindPlain  HostKind = "plain"
)

// Host is one entry of the host list.
type Host struct {
	ID          dotterelpulley.HostID
	Kind        HostKind
	Service     dotterelpulley.ServiceID
	Address     dotterelpulley.Address
	PeerAddress dotterelpulley.Address
	Zone        dotterelpulley.ZoneID
	Generation  dotterelpulley.Generation
	State       dotterelpulley.EndpointState
}

// List is one revision of the host list.
type List struct {
	Revision int64
	Hosts    []Host
}

// Endpoint returns the host as an endpoint of its service.
func (h Host) Endpoint() dotterelpulley.Endpoint {
	return dotterelpulley.Endpoint{
		ID:         dotterelpulley.EndpointID(h.ID),
		Service:    h.Service,
		Address:    h.Address,
		Zone:       h.Zone,
		Generation: h.Generation,
		State:      h.State,
	}
}

const defaultTimeout = 2 * time.Second

// Client is a client of the host list service; set Address before the first call.
type Client struct {
	Address dotterelpulley.Address

	http slurper.Client
}

// Fetch returns the current host list.
func (c *Client) Fetch() (List, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + string(c.Address) + "/v1/hosts")
	if err := c.http.DoTimeout(req, resp, defaultTimeout); err != nil {
		return List{}, fmt.Errorf("fetch host list: %w", err)
	}
	if resp.StatusCode() != http.StatusOK {
		return List{}, fmt.Errorf("fetch host list: status %d", resp.StatusCode())
	}
	var w wireList
	if err := json.Unmarshal(resp.Body(), &w); err != nil {
		return List{}, fmt.Errorf("decode host list: %w", err)
	}
	return w.fromWire(), nil
}
