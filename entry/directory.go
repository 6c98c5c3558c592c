package entry

import (
	"sort"
	"strings"

	"github.com/gofiber/fiber/v3"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/lister"
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
	answer := wireEntries{Keep: e.settings.Timeouts.KeepEntries.String()}
	draining := e.claims.session().draining()
	draining[e.settings.Host] = e.draining.Load()
	for _, h := range orderEntries(e.endpoints.entries(), zone) {
		if draining[h.ID] {
			continue
		}
		answer.Entries = append(answer.Entries, wireEntryAddress{Address: string(h.Address), Zone: string(h.Zone)})
	}
	return c.JSON(answer)
}

// orderEntries returns the live entry hosts, those of the zone first.
func orderEntries(hosts []lister.Host, zone dotterelpulley.ZoneID) []lister.Host {
	var live []lister.Host
	for _, h := range hosts {
		if h.State == dotterelpulley.EndpointLive {
			live = append(live, h)
		}
	}
	sort.SliceStable(live, func(i, j int) bool {
		return live[i].Zone == zone && live[j].Zone != zone
	})
	return live
}
