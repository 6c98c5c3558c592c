package gateway

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"

	"github.com/dotterelpulley/dotterelpulley/announcer"
	"github.com/dotterelpulley/dotterelpulley/registrar"
	"github.com/dotterelpulley/dotterelpulley/relayer"
	"github.com/dotterelpulley/dotterelpulley/repeater"
)

const (
	// lastReadLead is how long before the end of their grace missing registrations are read once more.
	lastReadLead = 100 * time.Millisecond
	// maxContactQueries limits the hosts that are asked at a time for their contact with the store.
	maxContactQueries = 4
)

// removeExpired removes the registrations that the store still lacks when their grace ends.
func (g *Gateway) removeExpired() {
	for g.ctx.Err() == nil {
		wait := readCheckInterval
		if pending := g.registry.pending(); len(pending.Endpoints) > 0 {
			wait = min(wait, time.Until(pending.Until))
		}
		repeater.Sleep(g.ctx, wait)
		g.changeEndpoints(func() []registrar.Change { return g.registry.RemoveExpired(time.Now()) })
	}
}

// refuteOutages finds out whether the store was out of reach for this host alone, so that registrations which disappeared
// meanwhile didn't expire in an outage.
func (g *Gateway) refuteOutages() {
	client, closeIdle := newRelayClient()
	defer closeIdle()
	repeater.Every(g.ctx, readCheckInterval, func() {
		if g.registry.pending().Refutable {
			g.askForContact(client)
		}
	})
}

// askForContact asks other hosts whether the store answered them while this one had lost it.
func (g *Gateway) askForContact(client *http.Client) {
	hosts := g.peers.liveHosts(time.Now())
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	var queries conc.WaitGroup
	for _, host := range hosts[:min(len(hosts), maxContactQueries)] {
		queries.Go(func() { g.askHostForContact(client, host) })
	}
	queries.Wait()
}

func (g *Gateway) askHostForContact(client *http.Client, host announcer.Member) {
	calledAt := time.Now()
	answer, err := g.callReader(client, host, &relayer.FollowRequest{ContactOnly: true, AcceptStoreLost: true})
	if err != nil {
		g.event(log.InfoLevel, "contact-unknown").Str("peer", string(host.ID)).Err(err).Msg("")
		return
	}
	if g.applyContact(calledAt, answer.Contact) {
		g.metrics.Inc("outages-refuted")
		g.event(log.InfoLevel, "outage-refuted").Str("peer", string(host.ID)).Dur("contact-since", answer.Contact.Since).Msg("")
	}
}

// toldContact returns the latest contact of any host with the store, as it is told to others.
func (g *Gateway) toldContact() relayer.Contact {
	c := g.registry.contact()
	if c.Until.IsZero() {
		return relayer.Contact{}
	}
	return relayer.Contact{Since: time.Since(c.Since), Until: time.Since(c.Until), Known: true}
}

// applyContact applies the contact that another host told in answer to a call, and reports whether it refutes an outage.
func (g *Gateway) applyContact(calledAt time.Time, told relayer.Contact) (refuted bool) {
	if !told.Known {
		return false
	}
	now := time.Now()
	contact := registrar.ToldContact(calledAt, now, told.Since, told.Until)
	g.changeEndpoints(func() []registrar.Change {
		before := g.registry.Pending()
		changes := g.registry.ApplyContact(now, contact)
		refuted = !before.ReturnedAt.IsZero() && g.registry.Pending().ReturnedAt.IsZero()
		return changes
	})
	return refuted
}
