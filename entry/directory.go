package entry

import (
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/director"
	"github.com/dotterelpulley/dotterelpulley/gossiper"
)

type wireEntryAddress struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

type wireEntries struct {
	Entries []wireEntryAddress `json:"entries"`
	Keep    string             `json:"keep"`
}

func (e *Entry) handleEntries(c fiber.Ctx) error {
	zone := dotterelpulley.ZoneID(strings.Clone(c.Query("zone")))
	// The port distinguishes callers behind the same address.
	caller := director.Caller(c.RequestCtx().RemoteAddr().String())
	answer := wireEntries{Keep: e.settings.Timeouts.KeepEntries.String()}
	for _, host := range (director.Director{}).Order(caller, zone, e.directory(time.Now())) {
		answer.Entries = append(answer.Entries, wireEntryAddress{Address: string(host.Address), Zone: string(host.Zone)})
	}
	return c.JSON(answer)
}

// directory returns the listed entry hosts with their state according to the roster and gossip.
func (e *Entry) directory(now time.Time) []director.Host {
	draining := e.claims.session().drainingHosts()
	draining[e.settings.Host] = e.draining.Load()
	members := e.gossip.members(now)
	members[e.settings.Host] = gossiper.Member{Load: e.queue.load()}
	var hosts []director.Host
	for _, h := range e.endpoints.entryHosts() {
		m := members[h.ID]
		host := director.Host{ID: h.ID, Address: h.Address, Zone: h.Zone, Load: m.Load}
		switch {
		case h.State != dotterelpulley.EndpointLive || draining[h.ID] || m.State == gossiper.Draining:
			host.State = director.Leaving
		case m.State == gossiper.Suspect:
			host.State = director.Suspect
		}
		hosts = append(hosts, host)
	}
	return hosts
}
